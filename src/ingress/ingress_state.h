#pragma once

/// The one server of this machine, owned: who runs on it, who waits, whom it takes no more.
///
/// Invariants:
///   - never more requests are at the server than it has slots, so that it need not queue, refuse
///     or reset;
///   - while it is cold, it gets no more in any second than it bears (ColdStart).

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

#include "admission/crash_suspects.h"
#include "core/environment.h"
#include "ingress/average_by_target.h"
#include "ingress/cold_start.h"
#include "ingress/large_answers.h"
#include "ingress/server_end_watch.h"
#include "ingress/settings.h"
#include "ingress/work_queue.h"
#include "model/configuration.h"
#include "model/server_entry.h"
#include "proxy/connection_policy.h"
#include "proxy/deadline_queue.h"
#include "proxy/decision_log.h"
#include "proxy/request_flow.h"
#include "proxy/retry_accounts.h"

namespace coursepond::ingress {

/// Counters for /metrics. Never reset.
struct Statistics {
  std::uint64_t requests = 0;
  std::uint64_t answers_forwarded = 0;
  std::uint64_t answers_cut = 0;
  std::uint64_t queued = 0;
  std::uint64_t refused_full = 0;       ///< The expected wait is too long.
  std::uint64_t refused_link = 0;       ///< Large answers are still being sent.
  std::uint64_t refused_draining = 0;   ///< The server or this node is leaving.
  std::uint64_t refused_instance = 0;   ///< Meant for another start of the server.
  std::uint64_t refused_suspects = 0;   ///< Servers ended under such requests.
  std::uint64_t trials = 0;             ///< Of such requests, taken in.
  std::uint64_t refused_rejecting = 0;  ///< Turned away: the server rejects too much.
  std::uint64_t displaced = 0;          ///< Made room for a more urgent request.
  std::uint64_t expired = 0;            ///< The deadline passed while waiting.
  std::uint64_t repeated_runs = 0;      ///< Given to the server though another may have seen them.
  std::uint64_t server_refusals = 0;
  std::uint64_t server_unreachable = 0;
  std::uint64_t server_lost = 0;  ///< Connections lost with a request on them.
  std::uint64_t bad_answers = 0;
  std::uint64_t caller_gone = 0;
};

/// What the server says of itself when it is asked.
struct ServerHealth {
  std::string instance;  ///< Empty: it did not say.
  Duration cold_left{};  ///< How much longer it is cold; zero: it is warm.
};

/// How long a request may wait for a slot.
struct WaitBounds {
  TimePoint slot;    ///< It has its slot by then,
  TimePoint answer;  ///< and its answer is expected by then.
};

class IngressState final : public proxy::ConnectionPolicy {
 public:
  /// `retries` and `environment` must outlive the state.
  IngressState(const Settings& settings, proxy::RetryAccounts& retries, Environment& environment);

  /// What the server on this machine lists of itself; nothing when it is not listed.
  void setServer(const std::optional<model::ServerEntry>& entry);
  /// Operators drained this machine's zone, or took that back.
  void setZoneDrained(bool is_drained);
  /// What the configuration in force says of the server's service.
  void setService(const model::Service& service);
  /// `ask` is called when the server should be asked how it is; onHealth() takes its answer.
  void onHealthWanted(std::function<void()> ask) { ask_health_ = std::move(ask); }
  void onHealth(const ServerHealth& health);
  /// What was sent to the server at `sent` was lost, or found it out of reach: it may be another
  /// start when it answers again.
  void onServerLost(TimePoint sent, TimePoint now) { cold_start_.suspectStartedAnew(sent, now); }
  ServerEndWatch& serverEnds() { return server_ends_; }
  /// Which requests may not run since servers ended under them; null: all may.
  void setSuspects(admission::CrashSuspects* suspects) { suspects_ = suspects; }
  /// Whether the request may not run here. An egress that does not know yet sends it as any other.
  bool isSuspect(const std::optional<proxy::HopClass>& hop, TimePoint now) const;
  /// Takes a trial in; false while another of the same request is here.
  bool beginTrial(RequestFingerprint request);
  /// It left. `has_failed`: it may have run and got no answer.
  void endTrial(RequestFingerprint request, bool has_failed);
  /// The server answered it.
  void onRunAnswered(RequestFingerprint request, TimePoint now) {
    if (suspects_ != nullptr) suspects_->onAnswered(request, now);
  }
  bool isCold(TimePoint now) const { return cold_start_.isCold(settings_.cold_start, now); }
  /// A planned stop of this node began: egresses are told to go elsewhere. What is still running
  /// at `end` will be cut.
  void announceStop(TimePoint end) { stop_end_ = end; }
  /// Whether a request that may run until `deadline` might be cut by the node's stop.
  bool mightBeCut(TimePoint deadline) const { return stop_end_ && deadline > *stop_end_; }
  /// From now on, new requests are refused.
  void beginStop() { is_stopped_ = true; }

  /// Why a request may not begin here, if so.
  std::optional<proxy::Reason> refusal(const std::optional<proxy::HopClass>& hop) const;
  /// The server said of itself which start of it has the address. It knows better than the source,
  /// whose entry of an earlier start may stand for seconds.
  void learnInstance(const std::string& instance);
  /// The start of the server that requests are for; `fallback` while none is known.
  const std::string& instanceOr(const std::string& fallback) const {
    return instance_.empty() ? fallback : instance_;
  }
  const std::optional<model::ServerEntry>& server() const { return server_; }
  /// Where the server is, and the name its connections are kept under.
  model::Endpoint endpoint(const std::string& instance) const;
  void setAddress(Address address) { address_ = std::move(address); }

  /// Whether a request that comes now need not wait.
  bool hasSlotFor(TimePoint now) const;
  /// Gives the waiter a slot now, or when its turn comes if that is expected to be in time, or
  /// tells why not.
  std::optional<proxy::Reason> admit(Waiter& waiter, const WaitBounds& bounds, TimePoint now);
  void leave(Waiter& waiter) { queue_.remove(waiter); }
  /// Gives the slot back and serves who waits.
  void release(TimePoint now);
  /// A request of this target latency was at the server for so long.
  void onAnswered(Duration target, Duration service_time);
  /// The server answered a request, or rejected it.
  void onServerAnswer(bool is_rejection, TimePoint now) {
    rejections_.onAnswer(settings_.rejections, is_rejection, now);
  }
  /// Whether a request that has another choice shall look elsewhere.
  bool turnsAway(TimePoint now) const {
    return rejections_.turnsAway(settings_.rejections, now, environment_);
  }
  LargeAnswers& largeAnswers() { return large_answers_; }
  /// The server takes nothing for a while.
  void pause(Duration length, TimePoint now);

  proxy::HopLoad load() const;
  /// When a refused request should come back.
  Duration retryAfter() const;

  proxy::DeadlineQueue& deadlines() { return deadlines_; }
  const Settings& settings() const { return settings_; }
  /// For requests that begin from now on.
  void changeSettings(const Settings& settings) { settings_ = settings; }
  Statistics& statistics() { return statistics_; }
  proxy::RetryAccounts& retries() { return retries_; }
  /// `log` may be null.
  void setDecisionLog(proxy::DecisionLog* log) { log_ = log; }
  void note(const proxy::Decision& decision) const {
    if (log_ != nullptr) log_->onDecision(decision);
  }
  std::size_t running() const { return running_; }
  std::size_t waiting() const { return queue_.size(); }

  std::uint32_t connectionBudget(const ServiceName& service,
                                 const EndpointId& endpoint) const override;
  bool usable(const ServiceName& service, const EndpointId& endpoint) const override;
  std::vector<proxy::WarmServer> warmServers() const override { return {}; }

 private:
  std::uint32_t slots() const;
  /// Slots that can be used: of a cold server, what it may be sent in a second fills fewer.
  std::uint32_t usableSlots() const;
  void startOne(Waiter& waiter, TimePoint now);
  void askHealthIfSuspected(TimePoint now);
  bool isServerLeaving() const;
  Duration expectedWait(std::size_t ahead) const;
  Duration expectedService(Duration target) const;
  bool hasFreeSlot(TimePoint now) const;
  void refuseWaiting(proxy::Reason reason, TimePoint now);
  void dispatch(TimePoint now);
  void wakeWhenFree(TimePoint now);

  Settings settings_;
  proxy::RetryAccounts& retries_;
  Environment& environment_;
  Address address_;
  std::optional<model::ServerEntry> server_;
  std::string instance_;  ///< May be a later start of the server than `server_` lists.
  std::uint32_t connection_limit_ = 100;
  WorkQueue queue_;
  std::uint32_t running_ = 0;
  double service_time_us_;                     ///< Moving average over all requests,
  AverageByTarget service_time_by_target_us_;  ///< and apart.
  RejectionRate rejections_;
  ServerEndWatch server_ends_;
  admission::CrashSuspects* suspects_ = nullptr;
  std::set<RequestFingerprint> trials_;  ///< Waiting or running here.
  ColdStart cold_start_;
  LargeAnswers large_answers_;
  std::function<void()> ask_health_;
  TimePoint next_health_;  ///< The server is not asked before this.
  TimePoint paused_until_;
  TimerId wake_timer_ = 0;
  bool is_dispatching_ = false;
  std::optional<TimePoint> stop_end_;  ///< Of a planned stop that began.
  bool is_stopped_ = false;
  bool is_zone_drained_ = false;
  proxy::DeadlineQueue deadlines_;
  Statistics statistics_;
  proxy::DecisionLog* log_ = nullptr;
};

}  // namespace coursepond::ingress
