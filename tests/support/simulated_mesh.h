#pragma once

/// A mesh of two-hop nodes in virtual time. Each node has the production egress and ingress and a
/// model of its server, which makes calls to other services through its node. There are no sockets:
/// messages between nodes arrive after a fixed delay. A request with a crashing path crashes the
/// server that runs it, and all other requests on that server are lost. The server restarts after
/// kServerAway.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "admission/crash_suspects.h"
#include "admission/suspect_gossip.h"
#include "egress/egress_flow.h"
#include "egress/egress_state.h"
#include "ingress/ingress_flow.h"
#include "ingress/ingress_state.h"
#include "support/arrival_ledger.h"
#include "support/server_notices.h"
#include "support/virtual_environment.h"

namespace coursepond::testing {

/// How the servers of one service behave.
struct ServiceModel {
  std::string name;
  int servers = 1;
  Duration work = std::chrono::milliseconds(40);
  /// Service to which each run makes `calls_per_run` calls in parallel. The run fails if a call
  /// fails.
  std::string calls = {};
  int calls_per_run = 0;
  /// Fraction of the requests that make calls. A request makes them either in each run or in none.
  double calling_share = 1;
  /// Fraction of the runs whose answer is lost because the connection breaks.
  double answers_lost = 0;
  /// Fraction of the requests that a server rejects without running them, although it isn't full.
  double rejected = 0;
};

/// Arrivals and crashes of one crashing request, in order of time.
struct CrashRecord {
  std::vector<TimePoint> arrivals;  ///< Arrivals at servers.
  std::vector<TimePoint> crashes;

  /// Returns the number of arrivals later than `settled` after the third crash.
  std::size_t arrivalsOnceKnown(Duration settled) const {
    if (crashes.size() < 3) return 0;
    const TimePoint known = crashes[2] + settled;
    return static_cast<std::size_t>(std::count_if(
        arrivals.begin(), arrivals.end(), [known](TimePoint arrival) { return arrival > known; }));
  }
};

class SimulatedMesh {
 public:
  /// Time from the start of a crashing run to the crash.
  static constexpr Duration kCrashDelay = std::chrono::milliseconds(50);
  /// Time from a crash until the server is back with a new id.
  static constexpr Duration kServerAway = std::chrono::seconds(3);
  static constexpr Duration kHopDelay = std::chrono::milliseconds(1);
  static constexpr std::uint32_t kSlots = 24;
  static constexpr std::uint32_t kMaxAttempts = 3;
  static constexpr Duration kCallDeadline = std::chrono::milliseconds(400);

  /// With `child_ids`, the id of a call is the id of its parent, a dot and a unique suffix.
  SimulatedMesh(const std::vector<ServiceModel>& services, std::uint64_t seed,
                bool child_ids = true)
      : environment_(seed), random_(seed), has_child_ids_(child_ids) {
    for (const ServiceModel& service : services) {
      models_[service.name] = service;
      for (int number = 0; number < service.servers; ++number) addNode(service.name);
    }
    for (const auto& node : nodes_) begin(*node);
  }

  ServiceModel& model(const std::string& service) { return models_[service]; }
  ArrivalLedger& ledger() { return ledger_; }
  std::size_t nodes() const { return nodes_.size(); }
  /// Returns the number of requests of callers (not calls) answered with this status.
  int answered(int status) { return answered_[status]; }

  /// Makes callers send `per_second` evenly spaced requests for `service`, round robin over all
  /// nodes. With `alike`, all requests have the same path and so the same fingerprint.
  void load(const std::string& service, int per_second, bool alike = false) {
    const Duration gap = Duration(std::chrono::seconds(1)) / per_second;
    environment_.schedule(gap, [this, service, per_second, alike] {
      Node& node = *nodes_[next_node_++ % nodes_.size()];
      const std::string id = "r" + std::to_string(++last_id_);
      const std::string path = "/" + service + "/" + (alike ? "all" : id);
      request(node, service, path, id, std::chrono::milliseconds(1500),
              [this](int status) { ++answered_[status]; });
      load(service, per_second, alike);
    });
  }

  /// Makes a caller send a crashing request for `service` at intervals of `gap`, each time as a new
  /// request through the next node.
  void loadCrashing(const std::string& service, Duration gap) {
    crash_records_["/" + service + "/crash"];
    environment_.schedule(gap, [this, service, gap] {
      sendCrashing(service, next_crashing_node_++ % nodes_.size());
      loadCrashing(service, gap);
    });
  }
  /// Sends one crashing request through the node with this index.
  void sendCrashing(const std::string& service, std::size_t index) {
    const std::string path = "/" + service + "/crash";
    crash_records_[path];
    const std::string id = "crash" + std::to_string(++last_id_);
    request(*nodes_[index], service, path, id, std::chrono::milliseconds(1500),
            [this](int status) { ++crashing_answered_[status]; });
  }
  const CrashRecord& crashRecord(const std::string& service) const {
    return crash_records_.at("/" + service + "/crash");
  }
  /// Returns the number of crashing requests answered with this status.
  int crashingAnswered(int status) { return crashing_answered_[status]; }

  /// Disconnects the node from the gossip of all others, in both directions, or reconnects it.
  void cutGossip(std::size_t index, bool is_cut) { nodes_[index]->is_gossip_cut = is_cut; }
  const admission::CrashSuspects& suspects(std::size_t index) const {
    return nodes_[index]->suspects;
  }
  static RequestFingerprint fingerprintOfPath(const std::string& path) {
    return fingerprintOfHead({"GET", "mesh", path, {}});
  }
  /// Returns the fingerprint of the requests that `load()` with `alike` sends for this service.
  static RequestFingerprint fingerprintOfAlike(const std::string& service) {
    return fingerprintOfPath("/" + service + "/all");
  }

  /// Crashes the server of this node immediately. The server is back after kServerAway.
  void crashServer(std::size_t index) { crash(*nodes_[index]); }

  /// Makes the server of this node report this limit in its answers; empty: none.
  void setLimit(std::size_t index, std::optional<double> per_second) {
    Node& node = *nodes_[index];
    node.limit = per_second;
    notices_.setLimit(node.entry.id.value(), per_second, now());
  }
  /// Makes the server of this node report a limit that cannot be read.
  void setUnreadableLimit(std::size_t index) { nodes_[index]->has_unreadable_limit = true; }
  /// Makes the server of this node say in its answers that it is leaving. Its entry stays.
  void announceLeaving(std::size_t index) { nodes_[index]->is_leaving = true; }
  /// Returns the arrivals so far at the server of this node.
  std::size_t arrivals(std::size_t index) const { return nodes_[index]->arrivals; }
  /// Windows in which a server got more requests than its limit allows.
  const std::vector<FullestWindow>& limitViolations() const { return limit_violations_; }
  const ServerNotices& notices() const { return notices_; }
  /// Number of requests that arrived at servers whose leaving their machine had been told.
  std::size_t leavingViolations() const { return leaving_violations_; }
  /// Longest time from the arrival of a caller's request until it was answered with 503.
  Duration longestRefusal() const { return longest_refusal_; }
  /// Retry delays of all requests of callers that were answered with 503.
  const std::vector<Duration>& retryDelays() const { return retry_delays_; }

  void run(Duration span) { environment_.advance(span); }

  /// Restarts the node's process, which loses its state. Requests that it has begun continue to
  /// their end in the old instance.
  void restart(std::size_t index) {
    Node& old = *nodes_[index];
    auto fresh = std::make_unique<Node>(*this, old.service, old.entry, environment_);
    fresh->is_server_up = old.is_server_up;
    fresh->limit = old.limit;
    fresh->has_unreadable_limit = old.has_unreadable_limit;
    fresh->is_leaving = old.is_leaving;
    fresh->arrivals = old.arrivals;
    notices_.excuse(old.entry.address.host);
    old_nodes_.push_back(std::move(nodes_[index]));
    nodes_[index] = std::move(fresh);
    begin(*nodes_[index]);
  }

  /// Lists only the first `count` nodes from now on. The entries of the others lapse and are then
  /// forgotten.
  void listOnly(std::size_t count) {
    for (const auto& node : nodes_) list(*node, count);
    environment_.schedule(std::chrono::seconds(2), [this] {
      for (const auto& node : nodes_) {
        node->egress.directory().forgetLapsed(now());
        node->egress.onDirectoryChanged();
      }
    });
  }

  proxy::RetryAccounts& retries(std::size_t index) { return nodes_[index]->retries; }

 private:
  static constexpr std::uint16_t kIngressPort = 8300;

  class Hop;
  struct Node;

  /// Sends the gossip of one node to its peers.
  class GossipLink final : public admission::SuspectPeers {
   public:
    GossipLink(SimulatedMesh& mesh, Node& node) : mesh_(mesh), node_(node) {}
    void exchange(const std::string& host, const admission::SuspectMessage& message,
                  Callback callback) override;

   private:
    SimulatedMesh& mesh_;
    Node& node_;
  };

  struct Node {
    Node(SimulatedMesh& mesh, std::string its_service, model::ServerEntry its_entry,
         Environment& environment)
        : service(std::move(its_service)),
          entry(std::move(its_entry)),
          retries(environment),
          egress(egressSettings(entry), retries, environment),
          ingress(ingressSettings(service), retries, environment),
          peers(mesh, *this),
          gossip(suspects, peers, environment) {
      egress.setSuspects(&suspects);
      ingress.setSuspects(&suspects);
    }

    static egress::Settings egressSettings(const model::ServerEntry& entry) {
      egress::Settings settings;
      settings.own_zone = entry.zone;
      settings.own_service = entry.service;
      settings.ingress_port = kIngressPort;
      return settings;
    }

    static ingress::Settings ingressSettings(const std::string& service) {
      ingress::Settings settings;
      settings.own_service = ServiceName(service);
      return settings;
    }

    std::string service;
    model::ServerEntry entry;
    proxy::RetryAccounts retries;
    egress::EgressState egress;
    ingress::IngressState ingress;
    admission::CrashSuspects suspects;
    GossipLink peers;
    admission::SuspectGossip gossip;
    bool is_gossip_cut = false;
    bool is_server_up = true;
    int server_starts = 1;
    std::optional<double> limit;  ///< Limit that the server reports.
    bool has_unreadable_limit = false;
    bool is_leaving = false;   ///< The server says that it is leaving.
    std::size_t arrivals = 0;  ///< Requests that the server received.
    std::set<Hop*> at_server;  ///< Requests that run at the server.
  };

  /// A request at the egress of the node that received it from a caller or server.
  class EgressRequest final : public proxy::RequestIo {
   public:
    EgressRequest(SimulatedMesh& mesh, Node& node, std::string path, std::string id,
                  std::function<void(int)> done, bool parent_is_repeat)
        : mesh_(mesh),
          node_(node),
          path_(std::move(path)),
          id_(std::move(id)),
          done_(std::move(done)),
          parent_is_repeat_(parent_is_repeat) {}

    void start(Duration deadline) {
      sent_ = mesh_.now();
      proxy::RequestHead head;
      head.request_id = id_;
      head.method = "GET";
      head.host = "mesh";
      head.path = path_;
      head.fingerprints.whole = fingerprintOfPath(path_);
      head.deadline = deadline;
      flow_ = egress::makeEgressFlow(std::move(head), node_.egress, mesh_.environment_, *this);
      flow_->start();
    }

    void startAttempt(const proxy::AttemptPlan& plan) override;
    void cancelAttempt(proxy::AttemptId attempt) override;
    bool keepAttempt(proxy::AttemptId) override { return true; }
    void resumeAttempt(proxy::AttemptId attempt) override { resumed_ = attempt; }
    void discardAnswer(proxy::AttemptId) override {}
    void forwardAnswer(proxy::AttemptId attempt) override {
      const bool has_limit = head_.limit.kind == proxy::LimitReport::Kind::kLimit;
      mesh_.notices_.onForwarded(server_, machine(), has_limit, head_.draining, mesh_.now());
      mesh_.environment_.schedule(Duration(0), [this, attempt] {
        flow_->onAnswerComplete(attempt);
        finish(status_);
      });
    }
    void answerLocally(const proxy::LocalAnswer& answer) override {
      if (answer.status == 503) {
        mesh_.longest_refusal_ = std::max(mesh_.longest_refusal_, mesh_.now() - sent_);
        mesh_.retry_delays_.push_back(answer.retry_after.value_or(Duration(0)));
      }
      mesh_.environment_.schedule(Duration(0), [this, status = answer.status] { finish(status); });
    }

    const std::string& path() const { return path_; }
    const std::string& machine() const { return node_.entry.address.host; }
    TimePoint sent() const { return sent_; }
    void onReceived(proxy::AttemptId attempt) { flow_->onAttemptReceived(attempt); }
    void onHead(proxy::AttemptId attempt, const std::string& server,
                const proxy::AnswerHead& head) {
      status_ = head.status;
      head_ = head;
      server_ = server;
      resumed_ = 0;
      flow_->onAnswerHead(attempt, head);
      if (resumed_ == attempt) flow_->onAnswerHead(attempt, head);
    }

   private:
    void finish(int status) {
      if (done_) std::exchange(done_, nullptr)(status);
    }

    SimulatedMesh& mesh_;
    Node& node_;
    std::string path_;
    std::string id_;
    std::function<void(int)> done_;
    bool parent_is_repeat_;
    TimePoint sent_;
    int status_ = 0;
    proxy::AnswerHead head_;        ///< The last one.
    std::string server_;            ///< The server that it came from.
    proxy::AttemptId resumed_ = 0;  ///< Attempt that was resumed during the current event.
    std::unique_ptr<proxy::Exchange> flow_;
    std::map<proxy::AttemptId, Hop*> hops_;
  };

  /// One attempt at the ingress of the target node, and its run at the server there.
  class Hop final : public proxy::RequestIo {
   public:
    Hop(SimulatedMesh& mesh, Node& node, EgressRequest& origin, proxy::AttemptPlan plan,
        std::string id, bool parent_is_repeat)
        : mesh_(mesh),
          node_(node),
          origin_(origin),
          plan_(std::move(plan)),
          id_(std::move(id)),
          parent_is_repeat_(parent_is_repeat) {}

    void arrive() {
      if (is_cancelled_) return;
      proxy::RequestHead head;
      head.request_id = id_;
      head.method = "GET";
      head.deadline = plan_.remaining;
      head.hop_class = plan_.hop_class;
      head.target_instance = plan_.target_instance;
      flow_ = ingress::makeIngressFlow(std::move(head), node_.ingress, mesh_.environment_, *this);
      flow_->start();
      toOrigin([this] { origin_.onReceived(plan_.id); });
    }

    void cancel() {
      is_cancelled_ = true;
      if (flow_) flow_->onCallerGone();
    }

    void startAttempt(const proxy::AttemptPlan& plan) override {
      run_ = plan.id;
      if (!node_.is_server_up) return fail(plan.id, proxy::AttemptFailure::kConnectFailed);
      node_.at_server.insert(this);
      instance_ = node_.entry.id.value();
      ++node_.arrivals;
      mesh_.recordArrival({instance_, origin_.machine(), origin_.sent()});
      if (CrashRecord* const record = mesh_.crashRecordOf(origin_.path())) {
        record->arrivals.push_back(mesh_.now());
        mesh_.environment_.schedule(kCrashDelay, [this, run = plan.id, record] {
          if (run_ != run) return;
          record->crashes.push_back(mesh_.now());
          mesh_.crash(node_);
        });
        return;
      }
      const std::string& service = node_.service;
      is_repeat_ = mesh_.ledger_.recordArrival(service, id_, parent_is_repeat_, mesh_.now());
      const ServiceModel& model = mesh_.models_[service];
      if (mesh_.chance(model.rejected)) return reject(plan.id);
      mesh_.environment_.schedule(model.work, [this, run = plan.id] { afterWork(run); });
    }
    /// Called when the server crashes while it runs the request.
    void onServerCrashed() {
      const proxy::AttemptId run = std::exchange(run_, 0);
      flow_->onAttemptFailed(run, proxy::AttemptFailure::kLostAfterSend);
    }
    void cancelAttempt(proxy::AttemptId) override { leaveServer(); }
    void forwardAnswer(proxy::AttemptId attempt) override {
      proxy::AnswerHead head = answerHead(status_);
      head.is_signed = true;
      head.limit = limit_;
      head.draining = is_leaving_;
      toOrigin([this, head] { origin_.onHead(plan_.id, instance_, head); });
      mesh_.environment_.schedule(Duration(0),
                                  [this, attempt] { flow_->onAnswerComplete(attempt); });
    }
    void answerLocally(const proxy::LocalAnswer& answer) override {
      proxy::AnswerHead head = answerHead(answer.status);
      head.not_run = answer.outcome == proxy::Outcome::kNotRun;
      head.node_outcome = head.not_run ? "not-run" : "unknown";
      reason_ = answer.reason;
      head.node_reason = reason_;
      head.retry_after = answer.retry_after;
      toOrigin([this, head] { origin_.onHead(plan_.id, instance_, head); });
    }

   private:
    proxy::AnswerHead answerHead(int status) const {
      proxy::AnswerHead head;
      head.status = status;
      head.request_id = id_;
      head.hop_load = node_.ingress.loadFor(plan_.target_instance);
      return head;
    }

    /// Adds what the server reports in all its answers.
    void addNotices(proxy::AnswerHead& head) {
      using Kind = proxy::LimitReport::Kind;
      if (node_.limit) limit_ = {Kind::kLimit, *node_.limit};
      if (node_.has_unreadable_limit) limit_ = {Kind::kUnreadable, 0};
      is_leaving_ = node_.is_leaving;
      head.limit = limit_;
      head.draining = is_leaving_;
    }

    void toOrigin(std::function<void()> message) {
      mesh_.environment_.schedule(kHopDelay, [this, message = std::move(message)] {
        if (!is_cancelled_) message();
      });
    }

    void leaveServer() {
      run_ = 0;
      node_.at_server.erase(this);
    }

    void fail(proxy::AttemptId run, proxy::AttemptFailure failure) {
      mesh_.environment_.schedule(Duration(0), [this, run, failure] {
        if (run_ == run) flow_->onAttemptFailed(run, failure);
      });
    }

    void reject(proxy::AttemptId run) {
      mesh_.environment_.schedule(Duration(0), [this, run] {
        if (run_ != run) return;
        node_.at_server.erase(this);
        proxy::AnswerHead head;
        head.status = 503;
        head.request_id = id_;
        head.not_run = true;
        flow_->onAnswerHead(run, head);
      });
    }

    void afterWork(proxy::AttemptId run) {
      if (run_ != run) return;
      const ServiceModel& model = mesh_.models_[node_.service];
      const bool is_calling = !model.calls.empty() && mesh_.fractionOf(id_) < model.calling_share;
      calls_open_ = is_calling ? model.calls_per_run : 0;
      if (calls_open_ == 0) return end(run);
      for (int number = 0; number < model.calls_per_run; ++number) {
        const std::string id = mesh_.idOfCall(id_);
        mesh_.request(
            node_, model.calls, "/" + model.calls + "/" + id, id, kCallDeadline,
            [this, run](int status) { onCallEnded(run, status); }, is_repeat_);
      }
    }

    void onCallEnded(proxy::AttemptId run, int status) {
      if (status != 200) has_failed_call_ = true;
      if (--calls_open_ == 0) end(run);
    }

    void end(proxy::AttemptId run) {
      if (run_ != run) return;
      node_.at_server.erase(this);
      if (mesh_.chance(mesh_.models_[node_.service].answers_lost)) {
        return flow_->onAttemptFailed(run, proxy::AttemptFailure::kLostAfterSend);
      }
      status_ = has_failed_call_ ? 500 : 200;
      proxy::AnswerHead head;
      head.status = status_;
      head.request_id = id_;
      head.is_signed = true;
      addNotices(head);
      flow_->onAnswerHead(run, head);
    }

    SimulatedMesh& mesh_;
    Node& node_;
    EgressRequest& origin_;
    proxy::AttemptPlan plan_;
    std::string id_;
    bool parent_is_repeat_;
    bool is_repeat_ = false;
    bool is_cancelled_ = false;
    bool has_failed_call_ = false;
    int calls_open_ = 0;
    int status_ = 0;
    std::string reason_;
    std::string instance_;  ///< Instance of the server that received the request.
    proxy::LimitReport limit_;
    bool is_leaving_ = false;
    proxy::AttemptId run_ = 0;
    std::unique_ptr<proxy::Exchange> flow_;
  };

  void addNode(const std::string& service) {
    const std::string number = std::to_string(nodes_.size() + 1);
    model::ServerEntry entry;
    entry.id = EndpointId("s" + number);
    entry.service = ServiceName(service);
    entry.address = {"10.0.0." + number, 9000};
    entry.zone = ZoneId("z" + std::to_string(nodes_.size() % 3));
    entry.slots = kSlots;
    nodes_.push_back(std::make_unique<Node>(*this, service, entry, environment_));
  }

  void begin(Node& node) {
    auto snapshot = std::make_shared<model::Snapshot>();
    snapshot->version = Version(1);
    for (const auto& [name, service] : models_) {
      model::Route route;
      route.name = RouteName(name);
      route.match.path_prefix = "/" + name;
      route.service = ServiceName(name);
      route.repeatability = model::Repeatability::kAlways;
      route.longest_hold = std::chrono::milliseconds(1200);
      route.target_latency = std::chrono::milliseconds(400);
      route.max_attempts = kMaxAttempts;
      snapshot->routes.push_back(std::move(route));
    }
    node.egress.apply(snapshot);
    node.ingress.setServer(node.entry);
    list(node, nodes_.size());
    ingress::ServerEndWatch& ends = node.ingress.serverEnds();
    ends.onPortCheckNeeded([this, &node] { probePort(node); });
    ends.onEnd([this, &node](ServerEndId end, std::span<const RequestFingerprints> requests) {
      node.suspects.onServerEnd(end, requests, now());
    });
    std::vector<std::string> own_zone;
    std::vector<std::string> others;
    for (const auto& each : nodes_) {
      if (each.get() == &node) continue;
      const bool is_same_zone = each->entry.zone == node.entry.zone;
      (is_same_zone ? own_zone : others).push_back(each->entry.address.host);
    }
    node.gossip.setPeers(std::move(own_zone), std::move(others));
  }

  void probePort(Node& node) {
    environment_.schedule(kHopDelay, [this, &node] {
      const bool is_open = node.is_server_up;
      node.ingress.serverEnds().onPort(
          is_open ? ingress::ServerPort::kOpen : ingress::ServerPort::kClosed, now());
    });
  }

  void list(Node& node, std::size_t count) {
    std::vector<model::ServerEntry> entries;
    for (std::size_t index = 0; index < count; ++index) entries.push_back(nodes_[index]->entry);
    node.egress.directory().replaceAll(entries, now());
    node.egress.onDirectoryChanged();
  }

  void request(Node& node, const std::string& service, const std::string& path,
               const std::string& id, Duration deadline, std::function<void(int)> done,
               bool parent_is_repeat = false) {
    if (!parent_is_repeat) ledger_.recordRequest(service, now());
    egress_requests_.push_back(
        std::make_unique<EgressRequest>(*this, node, path, id, std::move(done), parent_is_repeat));
    egress_requests_.back()->start(deadline);
  }

  /// Returns null if the path isn't a crashing one.
  CrashRecord* crashRecordOf(const std::string& path) {
    const auto found = crash_records_.find(path);
    return found == crash_records_.end() ? nullptr : &found->second;
  }

  void crash(Node& node) {
    if (!node.is_server_up) return;
    node.is_server_up = false;
    for (Hop* const hop : std::exchange(node.at_server, {})) hop->onServerCrashed();
    environment_.schedule(kServerAway, [this, &node] { restartServer(node); });
  }

  void restartServer(Node& node) {
    node.is_server_up = true;
    node.limit.reset();
    node.has_unreadable_limit = false;
    node.is_leaving = false;
    ++node.server_starts;
    node.entry.id = EndpointId(node.entry.id.value().substr(0, node.entry.id.value().find('-')) +
                               "-" + std::to_string(node.server_starts));
    ++last_revision_;
    node.entry.revision = Generation(last_revision_);
    node.ingress.setServer(node.entry);
    for (const auto& each : nodes_) list(*each, nodes_.size());
  }

  void recordArrival(const NoticedArrival& arrival) {
    if (notices_.lateForLeaving(arrival)) ++leaving_violations_;
    const std::optional<FullestWindow> over = notices_.overLimit(arrival, now());
    if (over) limit_violations_.push_back(*over);
  }

  Node& nodeAt(const std::string& host) {
    for (const auto& node : nodes_) {
      if (node->entry.address.host == host) return *node;
    }
    return *nodes_.front();
  }

  TimePoint now() const { return environment_.now(); }
  bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }
  /// Returns a number evenly distributed from 0 to 1 that is the same for each run of a request.
  static double fractionOf(const std::string& id) {
    return static_cast<double>(std::hash<std::string>()(id) % 1000) / 1000;
  }
  std::string idOfCall(const std::string& parent) {
    const std::string own = "c" + std::to_string(++last_id_);
    return has_child_ids_ ? parent + "." + own : own;
  }

  proxy::VirtualEnvironment environment_;
  std::mt19937_64 random_;
  bool has_child_ids_;
  std::map<std::string, ServiceModel> models_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Node>> old_nodes_;
  std::vector<std::unique_ptr<EgressRequest>> egress_requests_;
  std::vector<std::unique_ptr<Hop>> hops_;
  ArrivalLedger ledger_;
  std::map<std::string, CrashRecord> crash_records_;  ///< By path.
  std::map<int, int> answered_;
  std::map<int, int> crashing_answered_;
  ServerNotices notices_;
  std::vector<FullestWindow> limit_violations_;
  std::size_t leaving_violations_ = 0;
  Duration longest_refusal_{};
  std::vector<Duration> retry_delays_;
  std::size_t next_node_ = 0;
  std::size_t next_crashing_node_ = 0;
  std::uint64_t last_id_ = 0;
  std::uint64_t last_revision_ = 1;
};

inline void SimulatedMesh::GossipLink::exchange(const std::string& host,
                                                const admission::SuspectMessage& message,
                                                Callback callback) {
  mesh_.environment_.schedule(kHopDelay, [this, host, message, callback = std::move(callback)] {
    Node& peer = mesh_.nodeAt(host);
    if (node_.is_gossip_cut || peer.is_gossip_cut) return callback(std::nullopt);
    const admission::SuspectMessage reply = peer.gossip.onMessage(message);
    mesh_.environment_.schedule(kHopDelay, [reply, callback] { callback(reply); });
  });
}

inline void SimulatedMesh::EgressRequest::startAttempt(const proxy::AttemptPlan& plan) {
  Node& target = mesh_.nodeAt(plan.endpoint.address.host);
  mesh_.hops_.push_back(std::make_unique<Hop>(mesh_, target, *this, plan, id_, parent_is_repeat_));
  Hop* const hop = mesh_.hops_.back().get();
  hops_[plan.id] = hop;
  mesh_.environment_.schedule(kHopDelay, [hop] { hop->arrive(); });
}

inline void SimulatedMesh::EgressRequest::cancelAttempt(proxy::AttemptId attempt) {
  Hop* const hop = hops_[attempt];
  mesh_.environment_.schedule(kHopDelay, [hop] { hop->cancel(); });
}

}  // namespace coursepond::testing
