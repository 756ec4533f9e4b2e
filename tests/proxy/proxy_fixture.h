#pragma once

#include <memory>
#include <string>
#include <vector>

#include "proxy/proxy_state.h"
#include "proxy/request_flow.h"
#include "support/virtual_environment.h"

namespace coursepond::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One request of a test. Acts as the I/O layer and records the calls of the flow.
class TestRequest final : public RequestIo {
 public:
  TestRequest(RequestHead head, ProxyState& state, Environment& environment)
      : flow(std::move(head), state, environment, *this) {}

  void startAttempt(const AttemptPlan& plan) override {
    plans.push_back(plan);
    attempt_open = true;
  }
  void cancelAttempt(AttemptId attempt) override {
    cancelled.push_back(attempt);
    attempt_open = false;
  }
  bool bytesSent(AttemptId) const override { return bytes_sent; }
  void discardAnswer(AttemptId attempt) override {
    discarded.push_back(attempt);
    attempt_open = false;
  }
  void forwardAnswer(AttemptId attempt) override { forwarded.push_back(attempt); }
  void answerLocally(const LocalAnswer& answer) override { answers.push_back(answer); }

  AttemptId attempt() const { return plans.empty() ? 0 : plans.back().id; }
  std::string server() const { return plans.back().endpoint.id.value(); }
  bool running() const { return !plans.empty() && answers.empty() && forwarded.empty(); }

  /// Reports an answer of the server with this head.
  void answer(AnswerHead head) { flow.onAnswerHead(attempt(), head); }
  void answerWhole(int status = 200) {
    AnswerHead head;
    head.status = status;
    answer(head);
    flow.onAnswerComplete(attempt());
  }
  void refuse(bool draining = false, bool from_node = false) {
    AnswerHead head;
    head.status = 503;
    head.not_run = true;
    head.draining = draining;
    head.from_node = from_node;
    answer(head);
  }
  void fail(AttemptFailure failure) { flow.onAttemptFailed(attempt(), failure); }

  std::vector<AttemptPlan> plans;
  std::vector<AttemptId> cancelled;
  std::vector<AttemptId> discarded;
  std::vector<AttemptId> forwarded;
  std::vector<LocalAnswer> answers;
  bool bytes_sent = true;
  bool attempt_open = false;
  RequestFlow flow;
};

/// A node in zone "a" with one service "stock", its routes and its servers s1, s2, ...
class ProxyFixture {
 public:
  explicit ProxyFixture(Settings values = {}, std::uint64_t seed = 1)
      : environment(seed), state(ZoneId("a"), values, environment) {
    service.name = ServiceName("stock");
    service.slots_per_server = 4;
    service.queue_limit = 8;
    addRoute("read", "/stock", model::Repeatability::kByMethod);
    addRoute("seat", "/seat", model::Repeatability::kNever);
    addRoute("report", "/report", model::Repeatability::kAlways);
    routes.back().priority = model::Priority::kBatch;
  }

  void addRoute(const std::string& name, const std::string& prefix,
                model::Repeatability repeatability) {
    model::Route route;
    route.name = RouteName(name);
    route.match.path_prefix = prefix;
    route.service = service.name;
    route.repeatability = repeatability;
    routes.push_back(route);
  }

  /// Applies the routes and the service as configuration version `version`.
  bool apply(std::uint64_t version = 1) {
    auto snapshot = std::make_shared<model::Snapshot>();
    snapshot->version = Version(version);
    snapshot->routes = routes;
    snapshot->services[service.name] = service;
    snapshot->secrets = secrets;
    return state.apply(snapshot);
  }

  static model::Endpoint endpoint(const std::string& id) {
    return {EndpointId(id), Address{"127.0.0.1", 9000}, ZoneId("a"), model::MachineState::kLive};
  }

  void listServers(std::uint64_t generation, std::vector<model::Endpoint> endpoints) {
    state.updateEndpoints({service.name, ZoneId("a"), Generation(generation), endpoints});
  }

  /// Applies the first version and lists servers s1 to s`count`.
  void begin(int count) {
    apply();
    std::vector<model::Endpoint> endpoints;
    for (int number = 1; number <= count; ++number) {
      endpoints.push_back(endpoint("s" + std::to_string(number)));
    }
    listServers(1, endpoints);
  }

  static RequestHead head(const std::string& method, const std::string& path) {
    RequestHead head;
    head.method = method;
    head.path = path;
    head.host = "mesh";
    return head;
  }

  std::unique_ptr<TestRequest> send(RequestHead head) {
    auto request = std::make_unique<TestRequest>(std::move(head), state, environment);
    request->flow.start();
    return request;
  }
  std::unique_ptr<TestRequest> get(const std::string& path = "/stock") {
    return send(head("GET", path));
  }
  std::unique_ptr<TestRequest> post(const std::string& path = "/seat") {
    return send(head("POST", path));
  }

  const ProxyStatistics& statistics() const { return state.statistics(); }
  ServerReport report(const std::string& id) const {
    for (const ServerReport& report : state.serverReports()) {
      if (report.endpoint.id.value() == id) return report;
    }
    return {};
  }

  model::Service service;
  std::vector<model::Route> routes;
  model::SecretValues secrets;
  VirtualEnvironment environment;
  ProxyState state;
};

}  // namespace coursepond::proxy
