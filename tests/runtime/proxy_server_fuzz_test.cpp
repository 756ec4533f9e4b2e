#include <random>

#include "proxy_server_fixture.h"

namespace coursepond::runtime {
namespace {

constexpr int kCasesPerSeed = 150;
constexpr std::string_view kForbidden = "/smuggled";

using Engine = std::mt19937;

std::size_t below(Engine& engine, std::size_t bound) { return engine() % bound; }

std::string randomBytes(Engine& engine, std::size_t size) {
  std::string bytes(size, '\0');
  for (char& byte : bytes) byte = static_cast<char>(engine());
  return bytes;
}

/// Valid and questionable requests that the test mutates.
const std::vector<std::string>& seeds() {
  static const std::string post = "POST /p HTTP/1.1\r\nHost: svc\r\n";
  static const std::string inner = "GET /smuggled HTTP/1.1\r\nHost: svc\r\n\r\n";
  static const std::string length = "Content-Length: " + std::to_string(inner.size() + 5) + "\r\n";
  static const std::vector<std::string> requests = {
      simpleGet("/g"),
      simpleGet("/g", "X-Deadline-Ms: 1000\r\nConnection: close, X-A\r\nX-A: 1\r\n"),
      post + "Content-Length: 5\r\n\r\nhello",
      post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
      post + "Transfer-Encoding: chunked\r\n\r\n5;a=\"b\"\r\nhello\r\n00\r\nTrailer: x\r\n\r\n",
      post + length + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
      post + "Transfer-Encoding: chunked\r\n" + length + "\r\n0\r\n\r\n" + inner,
      post + "Transfer-Encoding: xchunked\r\n" + length + "\r\n0\r\n\r\n" + inner,
      post + "Transfer-Encoding : chunked\r\n" + length + "\r\n0\r\n\r\n" + inner,
      post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + inner,
      post +
          "Transfer-Encoding:\x0b"
          "chunked\r\n" +
          length + "\r\n0\r\n\r\n" + inner,
      post + "Content-Length: 0\r\n" + length + "\r\n" + inner,
      post + "Content-Length: +5\r\n\r\n" + inner,
      post + "Content-Length: 0x5\r\n\r\n" + inner,
      post + "X: a\nTransfer-Encoding: chunked\r\n" + length + "\r\n0\r\n\r\n" + inner,
      post + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 9\r\n\r\n" + inner,
      post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n" + inner,
  };
  return requests;
}

std::string mutate(Engine& engine, std::string bytes) {
  switch (below(engine, 6)) {
    case 0:
      return randomBytes(engine, 1 + below(engine, 2000));
    case 1:
      bytes.resize(below(engine, bytes.size()));
      return bytes;
    case 2:
      bytes[below(engine, bytes.size())] = static_cast<char>(engine());
      return bytes;
    case 3:
      bytes.insert(below(engine, bytes.size()), randomBytes(engine, 1 + below(engine, 8)));
      return bytes;
    case 4:
      bytes.erase(below(engine, bytes.size()), 1 + below(engine, 8));
      return bytes;
    default:
      return bytes;
  }
}

/// Sends the bytes in pieces, lets the server process them, and disconnects.
void attack(ProxyServerFixture& fixture, Engine& engine, const std::string& bytes) {
  RawCaller caller = fixture.caller();
  for (std::size_t sent = 0; sent < bytes.size();) {
    const std::size_t size = 1 + below(engine, bytes.size());
    caller.send(bytes.substr(sent, size));
    sent += size;
    fixture.context.poll();
  }
  caller.close();
  fixture.runUntil([&] { return fixture.server->callerConnectionCount() == 0; });
}

void checkServes(ProxyServerFixture& fixture, int number) {
  RawCaller caller = fixture.caller();
  const std::string target = "/good-" + std::to_string(number);
  caller.send(simpleGet(target));
  REQUIRE(caller.receives("<" + target + ">"));
  caller.close();
  fixture.runUntil([&] { return fixture.server->callerConnectionCount() == 0; });
}

}  // namespace

TEST_CASE("malicious callers neither stop the server nor smuggle a request through it") {
  ProxyServerSettings settings;
  settings.head_bytes = 1024;
  settings.body_bytes = 4096;
  ProxyServerFixture fixture(settings);
  bool smuggled = false;
  fixture.startBackend([&](const HttpRequest& request, const HttpResponder& responder) {
    if (request.target == kForbidden) smuggled = true;
    responder.respond({200, "text/plain", {}, "<" + request.target + ">"});
  });
  for (const std::string& bytes : seeds()) {
    CAPTURE(bytes);
    Engine engine(0);
    attack(fixture, engine, bytes);
    CHECK_FALSE(smuggled);
  }
  for (const unsigned seed : {1U, 2U, 3U}) {
    CAPTURE(seed);
    Engine engine(seed);
    for (int number = 0; number < kCasesPerSeed; ++number) {
      CAPTURE(number);
      attack(fixture, engine, mutate(engine, seeds()[below(engine, 5)]));
      if (number % 10 == 0) checkServes(fixture, number);
    }
  }
}

TEST_CASE("whatever a server answers, a caller receives only answers to its own requests") {
  const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello",
      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
  };
  ProxyServerFixture fixture;
  Engine engine(7);
  bool hostile = false;
  RawServer server(fixture.context, [&](RawServer::Connection& connection) {
    if (!connection.received.ends_with("\r\n\r\n")) return;
    const std::size_t start = connection.received.find("/good-");
    if (!hostile && start != std::string::npos) {
      const std::size_t end = connection.received.find(' ', start);
      const std::string body = "<" + connection.received.substr(start, end - start) + ">";
      connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body);
    } else {
      connection.send(mutate(engine, answers[below(engine, answers.size())]));
    }
    connection.received.clear();
  });
  fixture.useServers({server.address()});
  for (int number = 0; number < kCasesPerSeed; ++number) {
    CAPTURE(number);
    hostile = true;
    attack(fixture, engine, simpleGet("/any", "X-Deadline-Ms: 3\r\n"));
    hostile = false;
    RawCaller caller = fixture.caller();
    const std::string target = "/good-" + std::to_string(number);
    caller.send(simpleGet(target, "Connection: close\r\n"));
    caller.runToEnd();
    // The server may be ejected after its failures. An answer is the caller's own or a refusal.
    const bool own = caller.received.find("<" + target + ">") != std::string::npos;
    const bool refused = caller.received.starts_with("HTTP/1.1 503 ");
    CHECK((own || refused));
    CHECK(caller.received.find("hello") == std::string::npos);
  }
}

}  // namespace coursepond::runtime
