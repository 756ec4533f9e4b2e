#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "egress/egress_flow.h"
#include "fleet_load.h"
#include "ingress/ingress_flow.h"
#include "loaded_node.h"
#include "random_source.h"
#include "virtual_time.h"

namespace coursepond::data_path {
namespace {

using proxy::AnswerHead;
using proxy::AttemptFailure;
using proxy::AttemptId;
using proxy::AttemptPlan;

/// One-way delay of a message, including its processing at both ends on a tenth of a core.
constexpr Duration kSameZoneHop = std::chrono::microseconds(700);
constexpr Duration kOtherZoneHop = std::chrono::microseconds(1400);
constexpr Duration kCallerHop = std::chrono::milliseconds(1);
/// Time for the last answers to arrive after the last request.
constexpr Duration kTail = std::chrono::seconds(12);
constexpr double kMicrosecondsPerSecond = 1e6;
/// Step and modulus that spread the rejecting servers over zones and speeds.
constexpr std::size_t kShareSteps = 97;
constexpr std::size_t kShareStride = 31;
constexpr double kTwoPi = 6.283185307179586;
constexpr std::uint16_t kIngressPort = 8300;
constexpr int kOk = 200;
constexpr int kServerError = 500;
constexpr int kNotRun = 503;

Duration fromMicroseconds(double microseconds) {
  return Duration(static_cast<Duration::rep>(microseconds));
}

struct Node {
  Node(simulation::VirtualTime& time, std::uint64_t seed, const egress::Settings& egress_settings,
       const ingress::Settings& ingress_settings)
      : environment(time, seed),
        retries(environment),
        egress(egress_settings, retries, environment),
        ingress(ingress_settings, retries, environment) {}

  NodeEnvironment environment;
  proxy::RetryAccounts retries;
  egress::EgressState egress;
  ingress::IngressState ingress;
  std::size_t index = 0;
  std::size_t service = 0;
  model::ServerEntry entry;
  double speed = 1;
  bool is_leaving = false;
  ColdServer cold;
  std::uint64_t incarnation = 0;  ///< Incremented by a crash or restart; older work is lost.
  std::uint64_t ran = 0;
};

/// Answer to the sender of a request: the status, and after "not run" the delay before a retry.
using Reply = std::function<void(int status, std::optional<Duration> retry_after)>;

class EgressExchange;
class IngressExchange;

/// All nodes, the requests in flight, and the callers.
class Fleet {
 public:
  Fleet(const FleetScenario& scenario, const FleetPolicy& policy, std::uint64_t seed);

  FleetOutcome run();

  // ---- For the exchanges

  void after(Duration delay, std::function<void()> action) {
    time_.schedule(delay, std::move(action));
  }
  TimePoint now() const { return time_.now(); }
  const KindShape& kind(std::size_t index) const { return scenario_.kinds[index]; }
  std::size_t kindIndex(const std::string& name) const;
  Node& nodeOf(const EndpointId& server) { return *nodes_[node_of_server_.at(server)]; }
  Duration hop(const Node& from, const Node& to) const {
    return from.entry.zone == to.entry.zone ? kSameZoneHop : kOtherZoneHop;
  }
  Duration drawWork(const KindShape& kind);
  bool isRejected(const Node& node);
  /// Delivers a request or health probe to the node's server. Returns false if the server is down
  /// or crashes.
  bool arriveAtServer(Node& node);
  Duration workLength(Node& node, const KindShape& kind);
  bool drawChance(double probability) { return random_.chance(probability); }
  FleetOutcome& outcome() { return outcome_; }
  /// Keeps the exchange alive until it is released.
  template <typename Exchange>
  void keep(std::shared_ptr<Exchange> exchange) {
    kept_[exchange.get()] = exchange;
  }
  /// Frees the exchange in a later event, as the caller may be one of its own functions.
  void release(void* exchange) {
    after(Duration(0), [this, exchange] { kept_.erase(exchange); });
  }
  std::shared_ptr<EgressExchange> send(Node& node, std::size_t kind, std::string id, Reply reply);

 private:
  struct Caller {
    std::size_t kind = 0;
    TimePoint first_at;
    std::uint32_t retries_left = 0;
  };

  void makeNodes(const FleetPolicy& policy, std::uint64_t seed);
  model::Service serviceOf(const ServiceName& name, const FleetPolicy& policy) const;
  void startLeaving();
  void losePower();
  void probeHealth(Node& node);
  void countBySecond(const Caller& caller, bool is_in_time);
  double loadFactor() const;
  void scheduleArrival(std::size_t kind);
  Node& randomServingNode();
  void sendFromCaller(Caller caller);
  void onAnswered(const Caller& caller, int status, std::optional<Duration> retry_after);
  double busiestOverMean() const;

  const FleetScenario& scenario_;
  simulation::VirtualTime time_;
  simulation::RandomSource random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::unordered_map<EndpointId, std::size_t> node_of_server_;
  std::unordered_map<void*, std::shared_ptr<void>> kept_;
  FleetOutcome outcome_;
  std::uint64_t last_request_ = 0;
};

/// One request at the egress of the node that received it from a caller or server.
class EgressExchange final : public proxy::RequestIo,
                             public std::enable_shared_from_this<EgressExchange> {
 public:
  EgressExchange(Fleet& fleet, Node& node, std::size_t kind, std::string id, Reply reply)
      : fleet_(fleet), node_(node), kind_(kind), id_(std::move(id)), reply_(std::move(reply)) {}

  void start() {
    proxy::RequestHead head;
    head.request_id = id_;
    head.method = "POST";
    head.host = "mesh";
    head.path = "/" + fleet_.kind(kind_).name;
    head.deadline = fleet_.kind(kind_).deadline;
    flow_ = egress::makeEgressFlow(std::move(head), node_.egress, node_.environment, *this);
    flow_->start();
  }
  void onCallerGone() {
    if (is_done_) return;
    flow_->onCallerGone();
    end();
  }

  void startAttempt(const AttemptPlan& plan) override;
  bool keepAttempt(AttemptId attempt) override;
  void resumeAttempt(AttemptId attempt) override;
  void cancelAttempt(AttemptId attempt) override;
  void discardAnswer(AttemptId attempt) override { attemptOf(attempt) = {}; }
  void forwardAnswer(AttemptId) override { is_forwarding_ = true; }
  void answerLocally(const proxy::LocalAnswer& answer) override {
    finish(answer.status, answer.retry_after);
  }

  // ---- Messages from the ingress, after the hop delay

  void onReceived(AttemptId attempt) {
    if (isOpen(attempt)) flow_->onAttemptReceived(attempt);
  }
  void onFailed(AttemptId attempt, AttemptFailure failure) {
    if (isOpen(attempt)) flow_->onAttemptFailed(attempt, failure);
  }
  void onAnswer(AttemptId attempt, const AnswerHead& head, const Node& from);

 private:
  /// An attempt and the ingress that it has reached.
  struct Attempt {
    AttemptId id = 0;
    std::shared_ptr<IngressExchange> ingress;
  };

  bool isOpen(AttemptId attempt) const {
    return !is_done_ && (attempt == current_.id || attempt == kept_.id);
  }
  Attempt& attemptOf(AttemptId attempt) { return attempt == kept_.id ? kept_ : current_; }
  void arriveAt(Node& target, const AttemptPlan& plan);
  void finish(int status, std::optional<Duration> retry_after) {
    fleet_.after(Duration(0),
                 [reply = reply_, status, retry_after] { reply(status, retry_after); });
    end();
  }
  void end() {
    is_done_ = true;
    current_ = kept_ = {};
    fleet_.release(this);
  }

  Fleet& fleet_;
  Node& node_;
  std::size_t kind_;
  std::string id_;
  Reply reply_;
  std::unique_ptr<proxy::Exchange> flow_;
  Attempt current_;
  Attempt kept_;
  bool is_forwarding_ = false;
  bool is_done_ = false;
};

/// One attempt at the ingress next to the server, and the server's work on it.
class IngressExchange final : public proxy::RequestIo,
                              public std::enable_shared_from_this<IngressExchange> {
 public:
  IngressExchange(Fleet& fleet, Node& node, std::size_t kind, std::string id,
                  const AttemptPlan& plan, std::shared_ptr<EgressExchange> sender, Duration hop)
      : fleet_(fleet),
        node_(node),
        kind_(kind),
        id_(std::move(id)),
        plan_(plan),
        sender_(std::move(sender)),
        hop_(hop) {}

  void start() {
    proxy::RequestHead head;
    head.request_id = id_;
    head.method = "POST";
    head.path = "/" + fleet_.kind(kind_).name;
    head.deadline = plan_.remaining;
    head.hop_class = plan_.hop_class;
    head.target_instance = plan_.target_instance;
    flow_ = ingress::makeIngressFlow(std::move(head), node_.ingress, node_.environment, *this);
    flow_->start();
    if (is_done_) return;
    toSender([attempt = plan_.id](EgressExchange& sender) { sender.onReceived(attempt); });
  }
  void onCallerGone() {
    if (is_done_) return;
    flow_->onCallerGone();
    end();
  }

  void startAttempt(const AttemptPlan& plan) override;
  void cancelAttempt(AttemptId) override { stopWork(); }
  void forwardAnswer(AttemptId) override { forwarded_load_ = flow_->hopLoad(); }
  void answerLocally(const proxy::LocalAnswer& answer) override;

 private:
  void reject();
  void failAttempt(AttemptFailure failure);
  void makeCalls();
  void onCallAnswered(int status);
  void work();
  void answer();
  void stopWork();
  void toSender(std::function<void(EgressExchange&)> action) {
    fleet_.after(hop_, [sender = sender_, action = std::move(action)] { action(*sender); });
  }
  void end() {
    is_done_ = true;
    stopWork();
    fleet_.release(this);
  }

  Fleet& fleet_;
  Node& node_;
  std::size_t kind_;
  std::string id_;
  AttemptPlan plan_;
  std::shared_ptr<EgressExchange> sender_;
  Duration hop_;
  std::unique_ptr<proxy::Exchange> flow_;
  std::vector<std::weak_ptr<EgressExchange>> calls_;
  std::uint32_t open_calls_ = 0;
  std::uint32_t run_ = 0;          ///< Number of the current run; incremented when it is stopped.
  std::uint64_t incarnation_ = 0;  ///< Incarnation of the server when the run began.
  AttemptId attempt_ = 0;          ///< The attempt at the server.
  bool has_call_failed_ = false;
  bool is_done_ = false;
  std::optional<proxy::HopLoad> forwarded_load_;
};

// ---- Egress

void EgressExchange::startAttempt(const AttemptPlan& plan) {
  current_ = {plan.id, nullptr};
  Node& target = fleet_.nodeOf(plan.endpoint.id);
  fleet_.after(fleet_.hop(node_, target),
               [self = shared_from_this(), &target, plan] { self->arriveAt(target, plan); });
}

void EgressExchange::arriveAt(Node& target, const AttemptPlan& plan) {
  if (!isOpen(plan.id)) return;
  const Duration hop = fleet_.hop(node_, target);
  const auto ingress =
      std::make_shared<IngressExchange>(fleet_, target, kind_, id_, plan, shared_from_this(), hop);
  attemptOf(plan.id).ingress = ingress;
  fleet_.keep(ingress);
  ingress->start();
}

bool EgressExchange::keepAttempt(AttemptId) {
  kept_ = std::exchange(current_, {});
  return true;
}

void EgressExchange::resumeAttempt(AttemptId) { current_ = std::exchange(kept_, {}); }

void EgressExchange::cancelAttempt(AttemptId attempt) {
  const Attempt cancelled = std::exchange(attemptOf(attempt), {});
  if (!cancelled.ingress) return;
  fleet_.after(kOtherZoneHop, [ingress = cancelled.ingress] { ingress->onCallerGone(); });
}

void EgressExchange::onAnswer(AttemptId attempt, const AnswerHead& head, const Node& from) {
  if (!isOpen(attempt)) return;
  const bool was_kept = attempt == kept_.id;
  if (head.not_run && from.entry.zone != node_.entry.zone) ++fleet_.outcome().remote_refusals;
  flow_->onAnswerHead(attempt, head);
  const bool was_resumed = was_kept && !is_done_ && attempt == current_.id;
  if (was_resumed) flow_->onAnswerHead(attempt, head);
  if (!is_forwarding_ || is_done_) return;
  flow_->onAnswerComplete(attempt);
  if (from.entry.zone != node_.entry.zone) {
    ++fleet_.outcome().remote_answers;
    if (fleet_.kind(kind_).per_second > 0) ++fleet_.outcome().remote_to_callers;
  }
  finish(head.status, std::nullopt);
}

// ---- Ingress

void IngressExchange::startAttempt(const AttemptPlan& plan) {
  attempt_ = plan.id;
  ++run_;
  if (fleet_.isRejected(node_)) {
    // The flow expects the answer in a later event, not from inside startAttempt().
    return fleet_.after(Duration(0), [self = shared_from_this(), run = run_] {
      if (!self->is_done_ && run == self->run_) self->reject();
    });
  }
  if (!fleet_.arriveAtServer(node_)) {
    return fleet_.after(Duration(0), [self = shared_from_this(), run = run_] {
      if (!self->is_done_ && run == self->run_) self->failAttempt(AttemptFailure::kConnectFailed);
    });
  }
  ++node_.ran;
  incarnation_ = node_.incarnation;
  makeCalls();
  if (open_calls_ == 0) work();
}

void IngressExchange::reject() {
  AnswerHead head;
  head.status = kNotRun;
  head.not_run = true;
  flow_->onAnswerHead(attempt_, head);
}

/// Called when the server is down or has crashed while it ran the request.
void IngressExchange::failAttempt(AttemptFailure failure) {
  flow_->onAttemptFailed(attempt_, failure);
}

void IngressExchange::makeCalls() {
  for (const CallShape& call : fleet_.kind(kind_).calls) {
    if (!fleet_.drawChance(call.share)) continue;
    const std::size_t kind = fleet_.kindIndex(call.kind);
    for (std::uint32_t number = 0; number < call.times; ++number) {
      ++open_calls_;
      const std::string id = id_ + "." + std::to_string(calls_.size() + 1);
      calls_.push_back(fleet_.send(
          node_, kind, id, [self = shared_from_this()](int status, std::optional<Duration>) {
            self->onCallAnswered(status);
          }));
    }
  }
}

void IngressExchange::onCallAnswered(int status) {
  if (status != kOk) {
    has_call_failed_ = true;
    ++fleet_.outcome().calls_failed;
  }
  if (--open_calls_ == 0 && !is_done_) work();
}

void IngressExchange::work() {
  if (has_call_failed_) return answer();
  const Duration length = fleet_.workLength(node_, fleet_.kind(kind_));
  fleet_.after(length, [self = shared_from_this(), run = run_] {
    if (!self->is_done_ && run == self->run_) self->answer();
  });
}

void IngressExchange::answer() {
  if (incarnation_ != node_.incarnation) return failAttempt(AttemptFailure::kLostAfterSend);
  AnswerHead head;
  head.status = has_call_failed_ ? kServerError : kOk;
  head.request_id = id_;
  head.is_signed = true;
  flow_->onAnswerHead(attempt_, head);
  flow_->onAnswerComplete(attempt_);
  head.hop_load = forwarded_load_;
  toSender([attempt = plan_.id, head, &node = node_](EgressExchange& sender) {
    sender.onAnswer(attempt, head, node);
  });
  end();
}

void IngressExchange::stopWork() {
  ++run_;
  for (const std::weak_ptr<EgressExchange>& call : calls_) {
    const std::shared_ptr<EgressExchange> open = call.lock();
    if (open) fleet_.after(Duration(0), [open] { open->onCallerGone(); });
  }
  calls_.clear();
}

void IngressExchange::answerLocally(const proxy::LocalAnswer& answer) {
  AnswerHead head;
  head.status = answer.status;
  head.request_id = id_;
  head.not_run = answer.outcome == proxy::Outcome::kNotRun;
  head.retry_after = answer.retry_after;
  head.hop_load = node_.ingress.load();
  if (head.not_run) ++fleet_.outcome().hop_refusals;
  toSender([attempt = plan_.id, head, reason = answer.reason,
            &node = node_](EgressExchange& sender) mutable {
    head.node_reason = reason;
    head.node_outcome = head.not_run ? "not-run" : "unknown";
    sender.onAnswer(attempt, head, node);
  });
  end();
}

// ---- Fleet

model::SnapshotPointer makeRoutes(const FleetScenario& scenario) {
  auto snapshot = std::make_shared<model::Snapshot>();
  snapshot->version = Version(1);
  for (const KindShape& kind : scenario.kinds) {
    model::Route route;
    route.name = RouteName(kind.name);
    route.match.path_prefix = "/" + kind.name;
    route.service = ServiceName(kind.service);
    route.repeatability =
        kind.is_repeatable ? model::Repeatability::kAlways : model::Repeatability::kNever;
    route.longest_hold = kind.deadline;
    route.target_latency = kind.target;
    route.rank = kind.rank;
    route.max_attempts = 2;
    snapshot->routes.push_back(route);
  }
  return snapshot;
}

Fleet::Fleet(const FleetScenario& scenario, const FleetPolicy& policy, std::uint64_t seed)
    : scenario_(scenario), random_(seed) {
  for (const KindShape& kind : scenario.kinds) outcome_.kinds.push_back({kind.name});
  makeNodes(policy, seed);
}

model::Service Fleet::serviceOf(const ServiceName& name, const FleetPolicy& policy) const {
  constexpr double kPerThousand = 1000;
  model::Service service;
  service.name = name;
  service.warm_up = scenario_.cold.warm_up;
  if (policy.has_cold_rate) {
    service.cold_rate_per_1000_s =
        static_cast<std::uint32_t>(scenario_.cold.sustained_per_second * kPerThousand);
  }
  return service;
}

void Fleet::makeNodes(const FleetPolicy& policy, std::uint64_t seed) {
  std::vector<model::ServerEntry> entries;
  for (std::size_t service = 0; service < scenario_.services.size(); ++service) {
    const ServiceShape& shape = scenario_.services[service];
    for (std::size_t number = 0; number < shape.servers; ++number) {
      const std::size_t index = nodes_.size();
      model::ServerEntry entry;
      entry.id = EndpointId(shape.name + "-" + std::to_string(number));
      entry.service = ServiceName(shape.name);
      entry.zone = ZoneId(std::to_string(number % scenario_.zones));
      entry.address = {"10.0.0." + std::to_string(index), kIngressPort};
      entry.slots = shape.slots;
      entry.revision = Generation(1);
      egress::Settings egress = policy.egress;
      egress.own_zone = entry.zone;
      egress.own_service = entry.service;
      egress.ingress_port = kIngressPort;
      ingress::Settings ingress = policy.ingress;
      ingress.own_service = entry.service;
      // The rate plus the burst bounds the requests in any second, so it must equal the peak that
      // a cold server withstands.
      ingress.cold_start.burst =
          static_cast<double>(scenario_.cold.peak_per_second) - scenario_.cold.sustained_per_second;
      nodes_.push_back(std::make_unique<Node>(time_, seed * 1000 + index, egress, ingress));
      Node& node = *nodes_.back();
      node.index = index;
      node.service = service;
      node.entry = entry;
      node.speed = shape.speeds[random_.below(shape.speeds.size())];
      node.ingress.setServer(entry);
      node.ingress.setService(serviceOf(entry.service, policy));
      node.ingress.onHealthCheckNeeded([this, &node] { probeHealth(node); });
      node.ingress.onHealth({entry.id.value(), Duration(0)});
      node_of_server_[entry.id] = index;
      entries.push_back(entry);
    }
  }
  const model::SnapshotPointer routes = makeRoutes(scenario_);
  for (const auto& node : nodes_) {
    node->retries.setNodes(nodes_.size());
    node->egress.apply(routes);
    node->egress.directory().replaceAll(entries, time_.now());
    node->egress.onDirectoryChanged();
  }
}

/// Marks a part of the servers as leaving: they get no new requests and finish the current ones.
void Fleet::startLeaving() {
  std::map<std::size_t, double> to_end;
  std::vector<model::ServerEntry> leaving;
  for (const auto& node : nodes_) {
    to_end[node->service] += scenario_.leaving_fraction;
    if (to_end[node->service] < 1) continue;
    to_end[node->service] -= 1;
    node->is_leaving = true;
    leaving.push_back(node->entry);
    leaving.back().state = model::MachineState::kLeaving;
    leaving.back().revision = Generation(2);
  }
  for (const auto& node : nodes_) node->egress.directory().update(leaving, {}, time_.now());
}

std::size_t Fleet::kindIndex(const std::string& name) const {
  const auto found = std::find_if(scenario_.kinds.begin(), scenario_.kinds.end(),
                                  [&name](const KindShape& kind) { return kind.name == name; });
  return static_cast<std::size_t>(found - scenario_.kinds.begin());
}

/// Returns a log-normally distributed service time with the mean of the kind.
Duration Fleet::drawWork(const KindShape& kind) {
  const double normal = std::sqrt(-2 * std::log(random_.positiveFraction())) *
                        std::cos(kTwoPi * random_.positiveFraction());
  const double factor = std::exp(kind.spread * normal - kind.spread * kind.spread / 2);
  return fromMicroseconds(static_cast<double>(kind.work.count()) * factor);
}

bool Fleet::isRejected(const Node& node) {
  const RejectingServers& rejecting = scenario_.rejecting;
  const Duration since = time_.elapsed() - rejecting.at;
  if (since < Duration(0) || since >= rejecting.length) return false;
  if (node.entry.service.value() != rejecting.service) return false;
  const double share = rejecting.share * static_cast<double>(kShareSteps);
  if (static_cast<double>(node.index * kShareStride % kShareSteps) >= share) return false;
  if (!random_.chance(rejecting.rate)) return false;
  ++outcome_.rejected;
  return true;
}

bool Fleet::arriveAtServer(Node& node) {
  if (node.cold.isDown(now())) return false;
  if (node.cold.tryAccept(scenario_.cold, now())) return true;
  ++outcome_.cold_crashes;
  ++node.incarnation;
  return false;
}

Duration Fleet::workLength(Node& node, const KindShape& kind) {
  const double slowness = node.cold.isCold(now()) ? scenario_.cold.slowness : 1;
  return fromMicroseconds(static_cast<double>(drawWork(kind).count()) * slowness / node.speed);
}

/// Restarts all servers cold. Running requests are lost.
void Fleet::losePower() {
  for (const auto& node : nodes_) {
    ++node->incarnation;
    node->cold.start(scenario_.cold, now());
    node->ingress.onServerLost(now(), now());
  }
}

void Fleet::probeHealth(Node& node) {
  after(kSameZoneHop, [this, &node] {
    if (!arriveAtServer(node)) return;
    node.ingress.onHealth({node.entry.id.value(), node.cold.remainingColdTime(now())});
  });
}

double Fleet::loadFactor() const {
  double factor = scenario_.load;
  for (const Burst& burst : scenario_.bursts) {
    const Duration since = time_.elapsed() - burst.at;
    if (since >= Duration(0) && since < burst.length) factor *= burst.factor;
  }
  return factor;
}

void Fleet::scheduleArrival(std::size_t kind) {
  const double per_second = scenario_.kinds[kind].per_second * loadFactor();
  const Duration gap =
      fromMicroseconds(-std::log(random_.positiveFraction()) * kMicrosecondsPerSecond / per_second);
  after(gap, [this, kind] {
    if (time_.elapsed() >= scenario_.length) return;
    scheduleArrival(kind);
    outcome_.kinds[kind].sent += 1;
    outcome_.kinds[kind].possible_utility += scenario_.kinds[kind].utility;
    countBySecond({kind, now(), 0}, false);
    sendFromCaller({kind, now(), scenario_.kinds[kind].caller_retries});
  });
}

Node& Fleet::randomServingNode() {
  while (true) {
    Node& node = *nodes_[random_.below(nodes_.size())];
    if (!node.is_leaving) return node;
  }
}

std::shared_ptr<EgressExchange> Fleet::send(Node& node, std::size_t kind, std::string id,
                                            Reply reply) {
  auto exchange =
      std::make_shared<EgressExchange>(*this, node, kind, std::move(id), std::move(reply));
  keep(exchange);
  after(Duration(0), [exchange] { exchange->start(); });
  return exchange;
}

void Fleet::sendFromCaller(Caller caller) {
  Node& node = randomServingNode();
  const std::string id = "r" + std::to_string(++last_request_);
  after(kCallerHop, [this, caller, &node, id] {
    send(node, caller.kind, id, [this, caller](int status, std::optional<Duration> retry_after) {
      after(kCallerHop,
            [this, caller, status, retry_after] { onAnswered(caller, status, retry_after); });
    });
  });
}

void Fleet::onAnswered(const Caller& caller, int status, std::optional<Duration> retry_after) {
  KindOutcome& outcome = outcome_.kinds[caller.kind];
  const KindShape& kind = scenario_.kinds[caller.kind];
  if (status == kOk) {
    const bool is_in_time = now() - caller.first_at <= kind.target;
    (is_in_time ? outcome.in_time : outcome.late) += 1;
    if (is_in_time) countBySecond(caller, true);
    outcome.earned_utility += is_in_time ? kind.utility : kind.late_utility;
    return;
  }
  if (status != kNotRun) {
    outcome.failed += 1;
    return;
  }
  ++outcome_.refusals;
  if (caller.retries_left == 0) {
    outcome.refused += 1;
    return;
  }
  Caller again = caller;
  --again.retries_left;
  after(retry_after.value_or(Duration(0)), [this, again] { sendFromCaller(again); });
}

void Fleet::countBySecond(const Caller& caller, bool is_in_time) {
  const Duration at = caller.first_at - (now() - time_.elapsed());
  const auto second = static_cast<std::size_t>(at / std::chrono::seconds(1));
  std::vector<double>& counts = is_in_time ? outcome_.in_time_by_second : outcome_.sent_by_second;
  if (counts.size() <= second) counts.resize(second + 1);
  counts[second] += 1;
}

double Fleet::busiestOverMean() const {
  std::map<std::size_t, std::pair<double, double>> by_service;  // Maximum and sum.
  std::map<std::size_t, double> servers;
  for (const auto& node : nodes_) {
    auto& [most, sum] = by_service[node->service];
    most = std::max(most, static_cast<double>(node->ran));
    sum += static_cast<double>(node->ran);
    servers[node->service] += 1;
  }
  double busiest = 0;
  for (const auto& [service, ran] : by_service) {
    if (ran.second > 0) busiest = std::max(busiest, ran.first * servers[service] / ran.second);
  }
  return busiest;
}

FleetOutcome Fleet::run() {
  for (std::size_t kind = 0; kind < scenario_.kinds.size(); ++kind) {
    if (scenario_.kinds[kind].per_second > 0) scheduleArrival(kind);
  }
  if (scenario_.leaving_fraction > 0) after(scenario_.length / 3, [this] { startLeaving(); });
  if (scenario_.power_loss > Duration(0)) after(scenario_.power_loss, [this] { losePower(); });
  time_.runUntil(scenario_.length + kTail);
  outcome_.busiest = busiestOverMean();
  return outcome_;
}

}  // namespace

double FleetOutcome::sent() const {
  double sum = 0;
  for (const KindOutcome& kind : kinds) sum += kind.sent;
  return sum;
}

double FleetOutcome::earnedFraction() const {
  double earned_utility = 0;
  double possible_utility = 0;
  for (const KindOutcome& kind : kinds) {
    earned_utility += kind.earned_utility;
    possible_utility += kind.possible_utility;
  }
  return possible_utility > 0 ? earned_utility / possible_utility : 0;
}

double FleetOutcome::refusedFraction() const {
  double refused = 0;
  for (const KindOutcome& kind : kinds) refused += kind.refused;
  return refused / std::max(sent(), 1.0);
}

double FleetOutcome::lateFraction() const {
  double late = 0;
  for (const KindOutcome& kind : kinds) late += kind.late;
  return late / std::max(sent(), 1.0);
}

FleetOutcome runFleet(const FleetScenario& scenario, const FleetPolicy& policy,
                      std::uint64_t seed) {
  return Fleet(scenario, policy, seed).run();
}

}  // namespace coursepond::data_path
