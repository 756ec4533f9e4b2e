#include "proxy_server_fixture.h"

namespace coursepond::runtime {
namespace {

/// A caller that sends the next request as soon as it has an answer, until it is asked to close.
class BusyCaller {
 public:
  BusyCaller(ProxyServerFixture& fixture, int number)
      : caller_(fixture.context, fixture.server->address().port), number_(number) {
    ask();
  }

  /// Returns whether the connection may still carry requests.
  bool step() {
    if (done_) return false;
    const std::string own = "<" + target() + ">";
    if (caller_.received.find(own) != std::string::npos) {
      ++answered;
      if (caller_.received.find("Connection: close") != std::string::npos) {
        done_ = true;
        caller_.close();
      } else {
        ask();
      }
    } else if (caller_.ended) {
      done_ = true;
      cut = true;
    }
    return !done_;
  }

  int answered = 0;
  bool cut = false;  ///< The connection ended with a request in flight.

 private:
  std::string target() const {
    return "/" + std::to_string(number_) + "-" + std::to_string(asked_);
  }
  void ask() {
    ++asked_;
    caller_.received.clear();
    caller_.send(simpleGet(target()));
  }

  RawCaller caller_;
  int number_;
  int asked_ = 0;
  bool done_ = false;
};

}  // namespace

TEST_CASE("a planned stop under load cuts no request") {
  constexpr int kCallers = 30;
  constexpr int kAnswersBeforeStop = 300;
  ProxyServerSettings settings;
  settings.stop_grace = std::chrono::milliseconds(200);
  ProxyServerFixture fixture(settings);
  HttpServer& first =
      fixture.startBackend([&](const HttpRequest& request, HttpResponder responder) {
        boost::asio::post(fixture.context, [responder, target = request.target] {
          responder.respond({200, "text/plain", {}, "<" + target + ">"});
        });
      });
  fixture.useServers({first.address()});

  std::vector<std::unique_ptr<BusyCaller>> callers;
  for (int number = 0; number < kCallers; ++number) {
    callers.push_back(std::make_unique<BusyCaller>(fixture, number));
  }
  int answered = 0;
  const auto step = [&] {
    answered = 0;
    for (const auto& caller : callers) {
      caller->step();
      answered += caller->answered;
    }
  };
  fixture.runUntil([&] {
    step();
    return answered >= kAnswersBeforeStop;
  });
  bool drained = false;
  fixture.server->beginStop([&] { drained = true; });
  fixture.runUntil([&] {
    step();
    return drained;
  });
  for (const auto& caller : callers) {
    CHECK_FALSE(caller->step());
    CHECK_FALSE(caller->cut);
  }
  CHECK(fixture.server->statistics().cut_at_stop == 0);
  CHECK(fixture.state.requestsInFlight() == 0);
}

TEST_CASE("a connection that was accepted as the stop began is served") {
  ProxyServerFixture fixture;
  fixture.startBackend([](const HttpRequest&, const HttpResponder& responder) {
    HttpResponse response;
    response.body = "whole";
    responder.respond(std::move(response));
  });
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int number = 0; number < 3; ++number) {
    callers.push_back(std::make_unique<RawCaller>(fixture.context, fixture.server->address().port));
    callers.back()->send(simpleGet("/" + std::to_string(number)));
  }
  // The first connection is handled, the second accepted but not yet handled, the third pending.
  while (fixture.server->statistics().connections_accepted == 0) fixture.context.run_one();
  bool drained = false;
  fixture.server->beginStop([&] { drained = true; });
  fixture.runUntil([&] { return drained; });
  for (const auto& caller : callers) {
    caller->runToEnd();
    CHECK_FALSE(caller->reset);
    CHECK(caller->received.starts_with("HTTP/1.1 "));
  }
}

// Guards against requests that cross the end of an idle connection: their sender could not tell
// them from requests that were lost while they ran.
TEST_CASE("a stopping ingress says on idle connections that later requests have not run") {
  ProxyServerSettings settings;
  settings.stop_grace = std::chrono::milliseconds(10);
  settings.answer_style = AnswerStyle::kIngress;
  ProxyServerFixture fixture(settings);
  int runs = 0;
  fixture.startBackend([&runs](const HttpRequest&, const HttpResponder& responder) {
    ++runs;
    responder.respond({200, "text/plain", {}, "whole"});
  });
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/first"));
  REQUIRE(caller.receives("whole"));
  caller.received.clear();
  bool drained = false;
  fixture.server->beginStop([&] { drained = true; });
  REQUIRE(caller.receives("stopping\n"));
  CHECK(caller.received.starts_with("HTTP/1.1 503 "));
  CHECK(caller.received.find("X-Outcome: not-run\r\n") != std::string::npos);
  CHECK(caller.received.find("Connection: close\r\n") != std::string::npos);
  CHECK(caller.received.find("X-Request-Id") == std::string::npos);
  caller.send(simpleGet("/crossing"));
  caller.runToEnd();
  CHECK_FALSE(caller.reset);
  CHECK(caller.received.ends_with("stopping\n"));
  CHECK(runs == 1);
  caller.close();
  fixture.runUntil([&] { return drained; });
}

TEST_CASE("a stopping node closes idle connections of outside callers without a message") {
  ProxyServerSettings settings;
  settings.stop_grace = std::chrono::milliseconds(10);
  settings.answer_style = AnswerStyle::kEgress;
  ProxyServerFixture fixture(settings);
  RawCaller caller = fixture.caller();
  bool drained = false;
  fixture.server->beginStop([&] { drained = true; });
  caller.runToEnd();
  CHECK(caller.received.empty());
  CHECK_FALSE(caller.reset);
  caller.close();
  fixture.runUntil([&] { return drained; });
}

TEST_CASE("a stop cuts requests that are still in flight after the drain time") {
  ProxyServerSettings settings;
  settings.stop_grace = settings.stop_drain = std::chrono::milliseconds(10);
  ProxyServerFixture fixture(settings);
  std::optional<HttpResponder> held;
  fixture.startBackend([&](const HttpRequest&, HttpResponder responder) { held = responder; });
  RawCaller caller = fixture.caller();
  caller.send(simpleGet("/never"));
  fixture.runUntil([&] { return held.has_value(); });
  bool drained = false;
  fixture.server->beginStop([&] { drained = true; });
  fixture.runUntil([&] { return drained; });
  caller.runToEnd();
  CHECK(caller.reset);
  CHECK(fixture.server->statistics().cut_at_stop == 1);
}

}  // namespace coursepond::runtime
