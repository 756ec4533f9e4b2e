// Answers of servers that are broken, in a mesh: none may reach the caller as an answer.

#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>
#include <string>

#include "runtime/proxy_server_fixture.h"
#include "support/endless_server.h"

namespace coursepond::runtime {
namespace {

using namespace std::chrono_literals;

/// Returns what a caller receives until its connection ends, if the server answers with `answer`
/// and then closes its connection.
std::string receivedFor(const std::string& answer, const std::string& request) {
  ProxyServerFixture fixture;
  RawServer server(fixture.context, [&](RawServer::Connection& connection) {
    connection.send(answer);
    connection.socket.close();
  });
  fixture.useServers({server.address()});
  RawCaller caller = fixture.caller();
  caller.send(request);
  caller.runToEnd();
  return caller.received;
}

std::string closingGet(const std::string& more_fields = "") {
  return simpleGet("/x", "Connection: close\r\n" + more_fields);
}

}  // namespace

// Guards against answers whose status is not one of HTTP reaching the caller.
TEST_CASE("an answer whose status is below 100 is replaced by 502") {
  for (const char* status : {"000", "001", "042", "099"}) {
    CAPTURE(std::string(status));
    const std::string received = receivedFor(
        "HTTP/1.1 " + std::string(status) + " OK\r\nContent-Length: 6\r\n\r\nstatus", closingGet());
    CHECK(received.starts_with("HTTP/1.1 502 "));
    CHECK(received.find("status") == std::string::npos);
  }
}

TEST_CASE("an answer with a status that HTTP does not define reaches the caller") {
  for (const char* status : {"299", "599", "600", "999"}) {
    CAPTURE(std::string(status));
    const std::string received = receivedFor(
        "HTTP/1.1 " + std::string(status) + " Own\r\nContent-Length: 4\r\n\r\nbody", closingGet());
    CHECK(received.starts_with("HTTP/1.1 " + std::string(status) + " "));
    CHECK(received.ends_with("\r\n\r\nbody"));
  }
}

// Guards against a line that is no field being passed on, and against a body whose end is not where
// the server placed it.
TEST_CASE("an answer with a blank or a control byte in the name of a field is replaced by 502") {
  for (const std::string line :
       {"X A: line", "X-A : line", "X-A\t: line", " X-A: line", "\tX-A: line", " : line",
        "\x01X: line", "X\x7f: line", "X\rA: line", "\rX-A: line", "Content-Length : 2",
        " Content-Length: 2", "\x0bTransfer-Encoding: chunked"}) {
    for (const std::string before : {"", "X-B: before\r\n"}) {
      CAPTURE(line);
      CAPTURE(before);
      const std::string received = receivedFor(
          "HTTP/1.1 200 OK\r\n" + before + line + "\r\nX-C: after\r\n\r\nthe body", closingGet());
      CHECK(received.starts_with("HTTP/1.1 502 "));
      CHECK(received.find("line") == std::string::npos);
      CHECK(received.find("the body") == std::string::npos);
    }
  }
}

// Guards against a part of an answer that the caller takes for the whole.
TEST_CASE("an answer without a length that is reset during an upload does not look complete") {
  constexpr std::size_t kUploadBytes = std::size_t{8} * 1024 * 1024;
  // Which call of the proxy gets the reset differs from round to round.
  constexpr int kRounds = 20;
  for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
    for (int round = 0; round < kRounds; ++round) {
      CAPTURE(version);
      CAPTURE(round);
      ProxyServerFixture fixture;
      RawServer server(fixture.context, [&](RawServer::Connection& connection) {
        if (connection.received.size() < std::size_t{64} * 1024) return;
        connection.send("HTTP/1.1 200 OK\r\n\r\na part");
        connection.socket.set_option(boost::asio::socket_base::linger(true, 0));
        connection.socket.close();
      });
      fixture.useServers({server.address()});
      RawCaller caller = fixture.caller();
      caller.sendLater("POST /x " + version + "\r\nHost: svc\r\nContent-Length: " +
                       std::to_string(kUploadBytes) + "\r\n\r\n" + std::string(kUploadBytes, 'x'));
      caller.runToEnd();
      const bool is_refused = caller.received.find(" 502 ") != std::string::npos;
      const bool is_cut = caller.reset && !caller.received.ends_with("0\r\n\r\n");
      CAPTURE(caller.received);
      CHECK((is_refused || is_cut));
    }
  }
}

// Guards against a request that never ends, and against a node that keeps reading for a server that
// has nothing to say.
TEST_CASE("an answer whose head never ends is replaced by an error before its deadline") {
  for (const testing::EndlessAnswer& answer : testing::endlessHeads()) {
    const std::string name = answer.name;
    CAPTURE(name);
    ProxyServerFixture fixture;
    testing::EndlessServer server(fixture.context, answer);
    fixture.useServers({server.address()});
    RawCaller caller = fixture.caller();
    const auto began = std::chrono::steady_clock::now();
    caller.send(closingGet("X-Deadline-Ms: 5000\r\n"));
    caller.runToEnd();
    CHECK(std::chrono::steady_clock::now() - began < 5s);
    CHECK(caller.received.starts_with("HTTP/1.1 502 "));
    fixture.runUntil([&] { return server.open() == 0; });
  }
}

TEST_CASE("an answer whose body never ends is cut when its request's deadline is over") {
  for (const testing::EndlessAnswer& answer : testing::endlessBodies()) {
    const std::string name = answer.name;
    CAPTURE(name);
    ProxyServerFixture fixture;
    testing::EndlessServer server(fixture.context, answer);
    fixture.useServers({server.address()});
    RawCaller caller = fixture.caller();
    const auto began = std::chrono::steady_clock::now();
    caller.send(closingGet("X-Deadline-Ms: 400\r\n"));
    caller.runUntil([&] { return caller.ended || std::chrono::steady_clock::now() - began > 3s; });
    REQUIRE(caller.ended);
    CHECK_FALSE(caller.received.ends_with("0\r\n\r\n"));
    const bool is_error = caller.received.starts_with("HTTP/1.1 50");
    CHECK((caller.reset || is_error));
    fixture.runUntil([&] { return server.open() == 0; });
  }
}

TEST_CASE("an answer of known length whose body is late is delivered") {
  ProxyServerFixture fixture;
  boost::asio::steady_timer timer(fixture.context);
  RawServer server(fixture.context, [&](RawServer::Connection& connection) {
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst");
    timer.expires_after(500ms);
    timer.async_wait([&connection](const boost::system::error_code& error) {
      if (!error) connection.send(" late");
    });
  });
  fixture.useServers({server.address()});
  RawCaller caller = fixture.caller();
  caller.send(closingGet("X-Deadline-Ms: 300\r\n"));
  caller.runToEnd();
  CHECK(caller.received.ends_with("\r\n\r\nfirst late"));
}

}  // namespace coursepond::runtime
