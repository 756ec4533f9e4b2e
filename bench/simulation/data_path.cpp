#include "data_path.h"

#include <algorithm>
#include <utility>

namespace coursepond::simulation {
namespace {

constexpr Duration kConnectionCost = std::chrono::milliseconds(1);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
/// A node must send no new work to a server this long after the server announced that it leaves.
constexpr Duration kLeavingLimit = std::chrono::seconds(5);

}  // namespace

/// One caller request; implements the I/O interface that RequestFlow needs.
class DataPath::Exchange final : public proxy::RequestIo {
 public:
  Exchange(DataPath& path, const CallerRequest& request)
      : path_(path),
        request_(request),
        sent_(path.time_.now()),
        flow_(headOf(request), path.state_, path.environment_, *this) {}

  void start() { flow_.start(); }
  bool concluded() const { return concluded_; }
  bool answering() const { return forwarded_ != 0; }

  void startAttempt(const proxy::AttemptPlan& plan) override {
    Attempt& attempt = attempts_[plan.id];
    attempt.server = plan.endpoint.id;
    attempt.deadline = path_.time_.now() + plan.remaining;
    attempt.connection = path_.takeIdle(attempt.server);
    if (attempt.connection) return sendRequest(plan.id);
    if (path_.pools_[attempt.server].open >=
        path_.state_.connectionBudget(plan.service, plan.endpoint.id)) {
      return failLater(plan.id, proxy::AttemptFailure::kNoConnectionFree, Duration(0));
    }
    connect(plan.id);
  }

  void cancelAttempt(proxy::AttemptId id) override {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    const Attempt attempt = found->second;
    attempts_.erase(found);
    if (!attempt.connection) return;
    if (path_.without_ == Guard::kCloseAbandoned) {
      path_.release(attempt.server, attempt.connection);
    } else {
      path_.close(attempt.server, attempt.connection);
    }
  }

  bool bytesSent(proxy::AttemptId id) const override {
    if (path_.without_ == Guard::kTruthfulNotRun) return false;
    const auto found = attempts_.find(id);
    return found != attempts_.end() && found->second.sent;
  }

  void forwardAnswer(proxy::AttemptId id) override { forwarded_ = id; }

  void answerLocally(const proxy::LocalAnswer& answer) override {
    const bool deadline_passed = answer.status == 504;
    if (deadline_passed && path_.without_ == Guard::kConcludeByDeadline) return;
    // "Unknown" refusals are reported as such; requests refused with 4xx never ran either.
    conclude(answer.outcome == proxy::Outcome::kNotRun ? Conclusion::kRefusedNotRun
                                                       : Conclusion::kUnknown);
  }

  /// Called when the process ends and the operating system closes its connections.
  void closeAttempts() {
    for (const auto& [id, attempt] : attempts_) {
      if (attempt.connection) path_.close(attempt.server, attempt.connection);
    }
    attempts_.clear();
  }

  void onCallerGone() {
    flow_.onCallerGone();
    conclude(Conclusion::kCallerLeft);
  }

 private:
  struct Attempt {
    EndpointId server;
    UpstreamConnectionPointer connection;
    TimePoint deadline;
    bool sent = false;
  };

  static proxy::RequestHead headOf(const CallerRequest& request) {
    proxy::RequestHead head;
    head.request_id = request.id;
    head.method = request.kind.method;
    head.host = "mesh";
    head.path = request.kind.path;
    head.deadline = request.kind.deadline;
    return head;
  }

  Attempt* find(proxy::AttemptId id) {
    const auto found = attempts_.find(id);
    return found == attempts_.end() ? nullptr : &found->second;
  }

  /// Runs `action` in this process after a delay, unless the attempt has ended by then.
  void later(proxy::AttemptId id, Duration delay, std::function<void(Attempt&)> action) {
    DataPath& path = path_;
    const RequestId request = request_.id;
    path_.environment_.schedule(delay, [&path, request, id, action = std::move(action)] {
      const auto exchange = path.exchanges_.find(request);
      if (exchange == path.exchanges_.end()) return;
      Attempt* attempt = exchange->second->find(id);
      if (attempt != nullptr) action(*attempt);
    });
  }

  void failLater(proxy::AttemptId id, proxy::AttemptFailure failure, Duration delay) {
    later(id, delay, [this, id, failure](Attempt&) { fail(id, failure); });
  }

  void fail(proxy::AttemptId id, proxy::AttemptFailure failure) {
    attempts_.erase(id);
    const bool hidden = path_.without_ == Guard::kNoRetryAfterSend &&
                        failure == proxy::AttemptFailure::kLostAfterSend;
    flow_.onAttemptFailed(id, hidden ? proxy::AttemptFailure::kConnectFailed : failure);
  }

  void connect(proxy::AttemptId id) {
    Attempt& attempt = attempts_.at(id);
    BackendModel* server = path_.backends_(attempt.server);
    const bool reachable =
        server != nullptr && path_.network_.reachable(path_.zone_, server->endpoint().zone);
    if (!reachable) return failLater(id, proxy::AttemptFailure::kConnectFailed, kConnectTimeout);
    attempt.connection = std::make_shared<UpstreamConnection>(path_.environment_.mailbox(),
                                                              path_.node_, path_.zone_);
    ++path_.pools_[attempt.server].open;
    const Duration round_trip = std::chrono::milliseconds(2);
    later(id, round_trip + kConnectionCost, [this, id](Attempt& opened) {
      BackendModel* target = path_.backends_(opened.server);
      if (target != nullptr && target->accept(opened.connection)) return sendRequest(id);
      path_.close(opened.server, opened.connection);
      fail(id, proxy::AttemptFailure::kConnectFailed);
    });
  }

  void sendRequest(proxy::AttemptId id) {
    Attempt& attempt = attempts_.at(id);
    if (!attempt.connection->open_at_server) {  // Closed before a byte was written.
      path_.close(attempt.server, attempt.connection);
      return failLater(id, proxy::AttemptFailure::kClosedUnsent, Duration(0));
    }
    BackendModel* server = path_.backends_(attempt.server);
    path_.checkLeaving(*server);
    attempt.sent = true;
    DataPath& path = path_;
    attempt.connection->handler = [&path, request = request_.id, id](const ServerEvent& event) {
      const auto exchange = path.exchanges_.find(request);
      if (exchange != path.exchanges_.end()) exchange->second->onServerEvent(id, event);
    };
    const ServerRequest message{request_.id, attempt.deadline, attempt.connection, sent_};
    path_.network_.transmit(path_.zone_, server->endpoint().zone,
                            [backends = path_.backends_, name = attempt.server, message] {
                              backends(name)->receive(message);
                            });
  }

  void onServerEvent(proxy::AttemptId id, const ServerEvent& event) {
    Attempt* attempt = find(id);
    if (attempt == nullptr) return;
    switch (event.kind) {
      case ServerEvent::Kind::kHead:
        return onHead(id, event);
      case ServerEvent::Kind::kChunk:
        ++answer_.chunks;
        return;
      case ServerEvent::Kind::kEnd:
        return onEnd(id);
      case ServerEvent::Kind::kClosed:
        return onClosed(id);
    }
  }

  void onHead(proxy::AttemptId id, const ServerEvent& event) {
    const Attempt attempt = attempts_.at(id);
    proxy::AnswerHead head = event.head;
    if (head.draining) path_.leaving_announced_at_.try_emplace(attempt.server, path_.time_.now());
    const bool has_limit = head.limit.kind == proxy::LimitReport::Kind::kLimit;
    path_.checks_.onAnswerOf(attempt.server, path_.node_, has_limit, head.draining);
    if (path_.without_ == Guard::kHonourDraining) head.draining = false;
    if (path_.without_ == Guard::kHonourLimit) head.limit = {};
    answer_ = ReceivedAnswer{event.answer_to, 0};
    refused_by_server_ = head.not_run;
    flow_.onAnswerHead(id, head);
    if (forwarded_ == id) return;
    // The flow rejected this answer; do not reuse its connection.
    if (attempts_.erase(id) > 0) path_.close(attempt.server, attempt.connection);
  }

  void onEnd(proxy::AttemptId id) {
    const Attempt attempt = attempts_.at(id);
    attempts_.erase(id);
    path_.release(attempt.server, attempt.connection);
    flow_.onAnswerComplete(id);
    if (refused_by_server_) return conclude(Conclusion::kRefusedNotRun);
    concludeWith(answer_);
  }

  void onClosed(proxy::AttemptId id) {
    const Attempt attempt = attempts_.at(id);
    path_.close(attempt.server, attempt.connection);
    if (forwarded_ != id) return fail(id, proxy::AttemptFailure::kLostAfterSend);
    attempts_.erase(id);
    flow_.onAnswerCut(id);
    if (path_.without_ == Guard::kWholeAnswer) return concludeWith(answer_);
    conclude(Conclusion::kCut);
  }

  void concludeWith(const ReceivedAnswer& answer) {
    if (std::exchange(concluded_, true)) return;
    path_.checks_.onAnswered(request_.id, answer);
    path_.sweepFinished();
  }

  void conclude(Conclusion conclusion) {
    if (std::exchange(concluded_, true)) return;
    path_.checks_.onConcluded(request_.id, conclusion);
    path_.sweepFinished();
  }

  DataPath& path_;
  CallerRequest request_;
  TimePoint sent_;
  proxy::RequestFlow flow_;
  std::map<proxy::AttemptId, Attempt> attempts_;
  proxy::AttemptId forwarded_ = 0;
  ReceivedAnswer answer_;
  bool refused_by_server_ = false;
  bool concluded_ = false;
};

DataPath::DataPath(NodeId node, ZoneId zone, Guard without, VirtualTime& time, Network& network,
                   ProcessEnvironment& environment, proxy::ProxyState& state, RequestChecks& checks,
                   BackendDirectory backends, std::function<Duration()> calm_for)
    : node_(std::move(node)),
      zone_(std::move(zone)),
      without_(without),
      time_(time),
      network_(network),
      environment_(environment),
      state_(state),
      checks_(checks),
      backends_(std::move(backends)),
      calm_for_(std::move(calm_for)) {
  checks_.onNodeDisturbed(node_);
}

DataPath::~DataPath() = default;

void DataPath::serve(const CallerRequest& request) {
  auto exchange = std::make_unique<Exchange>(*this, request);
  Exchange& started = *exchange;
  exchanges_.emplace(request.id, std::move(exchange));
  started.start();
}

void DataPath::abandon(const RequestId& request) {
  const auto found = exchanges_.find(request);
  if (found != exchanges_.end() && !found->second->concluded()) found->second->onCallerGone();
}

bool DataPath::answering(const RequestId& request) const {
  const auto found = exchanges_.find(request);
  return found != exchanges_.end() && found->second->answering();
}

std::vector<RequestId> DataPath::inFlight() const {
  std::vector<RequestId> requests;
  for (const auto& [id, exchange] : exchanges_) {
    if (!exchange->concluded()) requests.push_back(id);
  }
  return requests;
}

void DataPath::closeAll() {
  for (auto& [request, exchange] : exchanges_) exchange->closeAttempts();
  for (auto& [server, pool] : pools_) {
    for (const UpstreamConnectionPointer& connection : std::exchange(pool.idle, {})) {
      close(server, connection);
    }
  }
}

UpstreamConnectionPointer DataPath::takeIdle(const EndpointId& server) {
  std::vector<UpstreamConnectionPointer>& idle = pools_[server].idle;
  if (idle.empty()) return nullptr;
  UpstreamConnectionPointer connection = std::move(idle.back());
  idle.pop_back();
  return connection;
}

void DataPath::release(const EndpointId& server, const UpstreamConnectionPointer& connection) {
  connection->handler = nullptr;
  if (!connection->open_at_server) return close(server, connection);
  pools_[server].idle.push_back(connection);
}

void DataPath::close(const EndpointId& server, const UpstreamConnectionPointer& connection) {
  if (!std::exchange(connection->open_at_node, false)) return;
  connection->handler = nullptr;
  --pools_[server].open;
  BackendModel* backend = backends_(server);
  network_.transmit(zone_, backend->endpoint().zone, [backends = backends_, server, connection] {
    backends(server)->onClosedByNode(connection);
  });
}

void DataPath::checkLeaving(BackendModel& server) {
  if (!server.leavingSince()) return;
  const TimePoint now = time_.now();
  const auto announced = leaving_announced_at_.find(server.endpoint().id);
  const bool knows =
      announced != leaving_announced_at_.end() && now - announced->second > kLeavingLimit;
  const Duration since = now - *server.leavingSince();
  const bool is_shown = !server.behaviour().is_listed_as_live;
  const bool could_know = is_shown && std::min(since, calm_for_()) > kLeavingLimit;
  if (knows || could_know) checks_.onWorkForLeavingServer(server.endpoint().id, node_, since);
}

void DataPath::sweepFinished() {
  // A flow must not be destroyed from inside its own callbacks.
  environment_.schedule(Duration(0), [this] {
    std::erase_if(exchanges_, [](const auto& entry) { return entry.second->concluded(); });
  });
}

}  // namespace coursepond::simulation
