// Large request bodies over a link with a scheduler.

#include "proxy/link_scheduler.h"
#include "runtime/proxy_server_fixture.h"

namespace coursepond::runtime {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kBodyBytes = 200'000;
constexpr double kMegabits = 8;

/// A node whose link needs 0.2 s for a large body, and a backend that counts the bytes it receives.
struct ScheduledUploads {
  explicit ScheduledUploads(const std::string& own_host = "") {
    ProxyServerSettings settings;
    settings.upstream_link = &link;
    settings.upstream_own_host = own_host;
    fixture = std::make_unique<ProxyServerFixture>(settings);
    backend = std::make_unique<RawServer>(
        fixture->context, [this](RawServer::Connection& connection) { onBytes(connection); });
    fixture->useServers({backend->address()});
  }

  void onBytes(RawServer::Connection& connection) {
    most_received = std::max(most_received, connection.received.size());
    const std::size_t head = connection.received.find("\r\n\r\n");
    if (head == std::string::npos) return;
    const bool is_upload = connection.received.starts_with("POST");
    if (connection.received.size() - head - 4 < (is_upload ? kBodyBytes : 0)) return;
    connection.received.clear();
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  }
  std::size_t receivedBytes() const {
    std::size_t bytes = 0;
    for (const auto& connection : backend->connections) bytes += connection->received.size();
    return bytes;
  }
  static std::string upload() {
    return "POST /up HTTP/1.1\r\nHost: svc\r\nContent-Length: " + std::to_string(kBodyBytes) +
           "\r\n\r\n" + std::string(kBodyBytes, 'x');
  }
  /// Returns whether `done` becomes true within a few seconds. Also runs the turns of the link.
  bool runUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!done() && std::chrono::steady_clock::now() < end) {
      clock_context.restart();
      clock_context.poll();
      fixture->context.run_for(1ms);
    }
    return done();
  }

  boost::asio::io_context clock_context;
  AsioEnvironment clock{clock_context};
  proxy::LinkScheduler link{{kMegabits}, clock};
  std::size_t most_received = 0;  ///< Largest part of a request that has arrived.
  std::unique_ptr<ProxyServerFixture> fixture;
  std::unique_ptr<RawServer> backend;
};

}  // namespace

TEST_CASE("a large body does not fill the link ahead of other requests") {
  ScheduledUploads uploads;
  RawCaller caller = uploads.fixture->caller();
  const auto start = std::chrono::steady_clock::now();
  caller.send(ScheduledUploads::upload());
  double most_queued = 0;
  CHECK(uploads.runUntil([&] {
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    const double sent = elapsed.count() * kMegabits * 1e6 / 8;
    most_queued = std::max(most_queued, static_cast<double>(uploads.most_received) - sent);
    return caller.received.ends_with("ok");
  }));
  CHECK(uploads.link.statistics().large_bytes == kBodyBytes);
  CHECK(most_queued < 32'000);
}

TEST_CASE("a small request does not wait behind a large body") {
  ScheduledUploads uploads;
  RawCaller large = uploads.fixture->caller();
  large.send(ScheduledUploads::upload());
  REQUIRE(uploads.runUntil([&] { return uploads.link.waitingSenders() > 0; }));
  RawCaller small = uploads.fixture->caller();
  small.send(simpleGet("/"));
  REQUIRE(uploads.runUntil([&] { return small.received.ends_with("ok"); }));
  CHECK(large.received.empty());
}

// Guards against an ingress that is taken for silent because the head of the request waits.
TEST_CASE("the head of a request does not wait for the turns of its body") {
  ScheduledUploads uploads;
  RawCaller caller = uploads.fixture->caller();
  caller.send(ScheduledUploads::upload());
  // The link's timers are not run, so the body gets no turn.
  uploads.fixture->runUntil([&] { return uploads.receivedBytes() > 0; });
  CHECK(uploads.backend->connections[0]->received.ends_with("\r\n\r\n"));
}

TEST_CASE("a small body without a length does not wait behind large output") {
  ScheduledUploads uploads;
  RawCaller large = uploads.fixture->caller();
  large.send(ScheduledUploads::upload());
  REQUIRE(uploads.runUntil([&] { return uploads.link.waitingSenders() > 0; }));
  RawCaller small = uploads.fixture->caller();
  small.send(
      "PUT / HTTP/1.1\r\nHost: svc\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
  REQUIRE(uploads.runUntil([&] { return small.received.ends_with("ok"); }));
  CHECK(large.received.empty());
}

TEST_CASE("a long body without a length does not fill the link") {
  ScheduledUploads uploads;
  RawCaller caller = uploads.fixture->caller();
  caller.send("POST /up HTTP/1.1\r\nHost: svc\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "2710\r\n" + std::string(10'000, 'x') + "\r\n";
  for (std::size_t sent = 0; sent < kBodyBytes; sent += 10'000) caller.send(chunk);
  caller.send("0\r\n\r\n");
  REQUIRE(uploads.runUntil([&] { return caller.received.ends_with("ok"); }));
  CHECK(uploads.link.statistics().large_bytes > kBodyBytes / 2);
}

TEST_CASE("the rest of a large body is not sent when its caller has left") {
  ScheduledUploads uploads;
  {
    RawCaller caller = uploads.fixture->caller();
    caller.send(ScheduledUploads::upload());
    REQUIRE(uploads.runUntil([&] { return uploads.receivedBytes() > 1'000; }));
    caller.close();
  }
  CHECK(uploads.runUntil([&] { return uploads.backend->connections[0]->ended; }));
  CHECK(uploads.receivedBytes() < kBodyBytes);
  CHECK(uploads.link.waitingSenders() == 0);
}

TEST_CASE("a large body for a server of the same machine crosses no link") {
  ScheduledUploads uploads("127.0.0.1");
  RawCaller caller = uploads.fixture->caller();
  caller.send(ScheduledUploads::upload());
  CHECK(uploads.runUntil([&] { return caller.received.ends_with("ok"); }));
  CHECK(uploads.link.statistics().large_bytes == 0);
}

}  // namespace coursepond::runtime
