// Large answers of the HTTP server over a link with a scheduler.

#include "runtime/proxy_server_fixture.h"

namespace coursepond::runtime {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kLargeBytes = 100'000;

/// A server on a link that needs 50 ms for a large answer.
struct ScheduledHttpServer {
  ScheduledHttpServer() {
    server = std::move(HttpServer::create(context, {"127.0.0.1", 0}, {},
                                          [](const HttpRequest& request, const HttpResponder& to) {
                                            const bool is_large = request.target == "/large";
                                            const std::size_t size = is_large ? kLargeBytes : 2;
                                            to.respond({200, "text/plain", {}, body(size)});
                                          })
                           .value());
    server->scheduleOutput(link, TimePoint::min());
  }
  static std::string body(std::size_t size) {
    std::string text(size, 'x');
    text.back() = '.';
    return text;
  }
  RawCaller caller() { return {context, server->address().port}; }
  /// Returns whether `done` becomes true within a few seconds.
  bool runUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!done() && std::chrono::steady_clock::now() < end) context.run_for(1ms);
    return done();
  }

  boost::asio::io_context context;
  AsioEnvironment environment{context};
  proxy::LinkScheduler link{{16}, environment};
  std::unique_ptr<HttpServer> server;
};

bool hasWholeAnswer(const RawCaller& caller) {
  return caller.received.size() > kLargeBytes && caller.received.ends_with('.');
}

}  // namespace

TEST_CASE("a large answer of the HTTP server arrives whole although it is sent in turns") {
  ScheduledHttpServer fixture;
  RawCaller caller = fixture.caller();
  for (int number = 0; number < 2; ++number) {
    caller.received.clear();
    caller.send(simpleGet("/large"));
    REQUIRE(fixture.runUntil([&] { return hasWholeAnswer(caller); }));
    CHECK(caller.received.find("Content-Length: 100000\r\n") != std::string::npos);
  }
  CHECK(fixture.link.statistics().pieces > 2);
  CHECK(fixture.link.waitingSenders() == 0);
}

TEST_CASE("a small answer of the HTTP server does not wait behind large ones") {
  ScheduledHttpServer fixture;
  std::vector<std::unique_ptr<RawCaller>> large;
  for (int number = 0; number < 4; ++number) {
    large.push_back(std::make_unique<RawCaller>(fixture.context, fixture.server->address().port));
    large.back()->send(simpleGet("/large"));
  }
  REQUIRE(fixture.runUntil([&] { return fixture.link.waitingSenders() > 0; }));
  RawCaller small = fixture.caller();
  small.send(simpleGet("/small"));
  REQUIRE(fixture.runUntil([&] { return small.received.ends_with("x."); }));
  CHECK(std::ranges::none_of(large, [](const auto& each) { return hasWholeAnswer(*each); }));
}

// Followers treat a reader that sends nothing for a while as failed.
TEST_CASE("large answers of the HTTP server share the link, so that none of them stalls") {
  ScheduledHttpServer fixture;
  RawCaller first = fixture.caller();
  RawCaller second = fixture.caller();
  first.send(simpleGet("/large"));
  second.send(simpleGet("/large"));
  REQUIRE(fixture.runUntil([&] { return hasWholeAnswer(first) || hasWholeAnswer(second); }));
  CHECK(first.received.size() > kLargeBytes / 2);
  CHECK(second.received.size() > kLargeBytes / 2);
}

TEST_CASE("a caller that leaves in the middle of a large answer gives its turn to others") {
  ScheduledHttpServer fixture;
  {
    RawCaller caller = fixture.caller();
    caller.send(simpleGet("/large"));
    REQUIRE(fixture.runUntil([&] { return !caller.received.empty(); }));
    caller.close();
  }
  CHECK(fixture.runUntil([&] { return fixture.server->connectionCount() == 0; }));
  CHECK(fixture.link.waitingSenders() == 0);
}

TEST_CASE("a caller that does not read its large answer delays nobody and is cut off") {
  ScheduledHttpServer fixture;
  fixture.server.reset();
  const HttpServer::Handler respond = [](const HttpRequest&, const HttpResponder& to) {
    to.respond({200, "text/plain", {}, ScheduledHttpServer::body(8'000'000)});
  };
  proxy::LinkScheduler fast({10'000}, fixture.environment);
  fixture.server = std::move(
      HttpServer::create(fixture.context, {"127.0.0.1", 0}, {.write_timeout = 200ms}, respond)
          .value());
  fixture.server->scheduleOutput(fast, TimePoint::min());
  Tcp::socket silent(fixture.context);
  silent.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.server->address().port});
  boost::asio::write(silent, boost::asio::buffer(simpleGet("/")));
  CHECK(fixture.runUntil([&] { return fixture.server->connectionCount() == 1; }));
  CHECK(fixture.runUntil([&] { return fixture.server->connectionCount() == 0; }));
  CHECK(fast.waitingSenders() == 0);
  fixture.server.reset();
}

}  // namespace coursepond::runtime
