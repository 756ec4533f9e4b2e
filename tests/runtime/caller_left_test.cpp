// A caller that leaves while its request waits inside the process. The event for it comes later
// than the end of the wait, as after a pause of the process.

#include "runtime/proxy_server_fixture.h"

namespace coursepond::runtime {
namespace {

/// A request whose attempts are started by the test.
class ManualExchange final : public proxy::Exchange {
 public:
  explicit ManualExchange(proxy::RequestIo& io_in) : io(io_in) {}
  void start() override {}
  void onAttemptFailed(proxy::AttemptId, proxy::AttemptFailure) override {}
  void onAnswerHead(proxy::AttemptId attempt, const proxy::AnswerHead&) override {
    io.forwardAnswer(attempt);
  }
  void onAnswerComplete(proxy::AttemptId) override {}
  void onAnswerCut(proxy::AttemptId) override {}
  void onCallerGone() override {
    if (attempt > 0) io.cancelAttempt(attempt);
  }
  Version configurationVersion() const override { return Version(1); }

  void startAttempt(const model::Endpoint& endpoint) {
    proxy::AttemptPlan plan;
    plan.id = ++attempt;
    plan.service = ServiceName("s");
    plan.endpoint = endpoint;
    plan.remaining = std::chrono::seconds(1);
    io.startAttempt(plan);
  }

  proxy::RequestIo& io;
  proxy::AttemptId attempt = 0;
};

/// A proxy server with one backend that counts its requests.
struct WaitingRequests {
  WaitingRequests() : state(ZoneId("z"), proxy::Settings{}, environment) {
    backend = std::move(HttpServer::create(context, {"127.0.0.1", 0}, {},
                                           [this](const HttpRequest&, const HttpResponder& to) {
                                             ++arrivals;
                                             to.respond({200, "text/plain", {}, "ok"});
                                           })
                            .value());
    ExchangeSource source;
    source.make = [this](const proxy::RequestHead&, proxy::RequestIo& io) {
      auto exchange = std::make_unique<ManualExchange>(io);
      waiting = exchange.get();
      return exchange;
    };
    source.policy = &state;
    source.begin_stop = [] {};
    server = std::move(ProxyServer::create(context, {}, std::move(source), environment).value());
  }

  RawCaller caller() { return {context, server->address().port}; }
  model::Endpoint endpoint() const { return {EndpointId("e"), backend->address(), ZoneId("z")}; }
  /// Sends a request and runs until it waits.
  void sendWaiting(RawCaller& caller) {
    waiting = nullptr;
    caller.send(simpleGet("/"));
    caller.runUntil([this] { return waiting != nullptr; });
  }

  boost::asio::io_context context;
  AsioEnvironment environment{context};
  proxy::ProxyState state;
  std::unique_ptr<HttpServer> backend;
  std::unique_ptr<ProxyServer> server;
  ManualExchange* waiting = nullptr;
  int arrivals = 0;
};

}  // namespace

TEST_CASE("a request whose caller left while it waited is not sent") {
  WaitingRequests fixture;
  {
    // Leaves an idle connection to the backend, on which a request is sent without a wait.
    RawCaller caller = fixture.caller();
    fixture.sendWaiting(caller);
    fixture.waiting->startAttempt(fixture.endpoint());
    REQUIRE(caller.receives("ok"));
  }
  RawCaller caller = fixture.caller();
  fixture.sendWaiting(caller);
  caller.close();
  fixture.waiting->startAttempt(fixture.endpoint());
  fixture.waiting = nullptr;
  while (fixture.server->callerConnectionCount() > 0) REQUIRE(fixture.context.run_one() > 0);
  fixture.context.run_for(std::chrono::milliseconds(20));
  CHECK(fixture.arrivals == 1);
  CHECK(fixture.server->statistics().callers_gone == 1);
}

TEST_CASE("a request whose caller left while its connection was being opened is not sent") {
  WaitingRequests fixture;
  RawCaller caller = fixture.caller();
  fixture.sendWaiting(caller);
  fixture.waiting->startAttempt(fixture.endpoint());
  caller.close();
  while (fixture.server->callerConnectionCount() > 0) REQUIRE(fixture.context.run_one() > 0);
  fixture.context.run_for(std::chrono::milliseconds(20));
  CHECK(fixture.arrivals == 0);
}

}  // namespace coursepond::runtime
