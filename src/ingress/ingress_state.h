#pragma once

/// State of the one server on this machine, which only this ingress sends requests to: running and
/// waiting requests, and what is currently refused.
///
/// Invariants:
///   - the server never has more requests than slots, so that it need not queue or refuse any of
///     them, or reset their connections;
///   - it gets no more requests per second than it says it accepts (ServerLimit);
///   - while it is cold, it gets no more requests in any second than it can handle (ColdStart).

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

#include "admission/crash_suspects.h"
#include "core/environment.h"
#include "ingress/average_by_target.h"
#include "ingress/cold_start.h"
#include "ingress/delivery_delay.h"
#include "ingress/large_answers.h"
#include "ingress/server_end_watch.h"
#include "ingress/server_speed.h"
#include "ingress/settings.h"
#include "ingress/short_work_reserve.h"
#include "ingress/work_queue.h"
#include "model/configuration.h"
#include "model/server_entry.h"
#include "proxy/connection_policy.h"
#include "proxy/deadline_queue.h"
#include "proxy/decision_log.h"
#include "proxy/link_scheduler.h"
#include "proxy/request_flow.h"
#include "proxy/retry_accounts.h"
#include "proxy/server_limit.h"

namespace coursepond::ingress {

/// Counters for /metrics. Never reset.
struct Statistics {
  std::uint64_t requests = 0;
  std::uint64_t answers_forwarded = 0;
  std::uint64_t answers_cut = 0;
  std::uint64_t queued = 0;
  std::uint64_t refused_full = 0;       ///< No free slot, or the wait is too long.
  std::uint64_t refused_limit = 0;      ///< The server's limit leaves no request.
  std::uint64_t refused_link = 0;       ///< The link cannot send a large answer in time.
  std::uint64_t refused_draining = 0;   ///< The server, zone or node is leaving or drained.
  std::uint64_t refused_instance = 0;   ///< The address went to an instance of unknown service.
  std::uint64_t refused_suspects = 0;   ///< Crash suspects.
  std::uint64_t withheld = 0;           ///< Of these, recognized by the last part of their body.
  std::uint64_t trials = 0;             ///< Crash suspects that were accepted as a trial.
  std::uint64_t refused_rejecting = 0;  ///< The server rejects too many requests.
  std::uint64_t refused_slow = 0;       ///< The server is slow now.
  std::uint64_t kept_slots = 0;         ///< Got no free slot, as it is kept for shorter work.
  std::uint64_t displaced = 0;          ///< Removed from the queue for a more urgent request.
  std::uint64_t expired = 0;            ///< The deadline passed.
  std::uint64_t repeated_runs = 0;      ///< Sent to the server after another may have seen them.
  std::uint64_t sends = 0;              ///< Requests sent to the server.
  std::uint64_t unreadable_limits = 0;  ///< Limits of the server that could not be read.
  std::uint64_t unusable_slowness = 0;  ///< Reports of slowness that are not plausible.
  std::uint64_t server_refusals = 0;
  std::uint64_t server_unreachable = 0;
  std::uint64_t server_lost = 0;  ///< Connections lost with a request on them.
  std::uint64_t bad_answers = 0;
  std::uint64_t delivered_late = 0;  ///< Requests with a delay of kLateDelivery or more.
  std::uint64_t caller_gone = 0;
  std::uint64_t runs_cancelled = 0;  ///< Of these, while the server had the request.
};

/// Delivery delay from which on a request counts as delivered late. An egress considers an ingress
/// silent after this time.
inline constexpr Duration kLateDelivery = std::chrono::milliseconds(250);

/// The server's answer to a health check.
struct ServerHealth {
  std::string instance;  ///< Empty: not reported.
  Duration cold_left{};  ///< Remaining warm-up time; zero: the server is warm.
  proxy::LimitReport limit{};
  bool said_leaving = false;
};

/// Upper bounds for the wait of a request for a slot.
struct WaitBounds {
  TimePoint slot;    ///< Latest time to get a slot.
  TimePoint answer;  ///< Latest time for the expected answer.
};

class IngressState final : public proxy::ConnectionPolicy {
 public:
  /// `retries` and `environment` must outlive the state.
  IngressState(const Settings& settings, proxy::RetryAccounts& retries, Environment& environment);

  /// Sets the listed entry of the server on this machine; nothing if it is not listed.
  void setServer(const std::optional<model::ServerEntry>& entry);
  /// Called when operators drain this machine's zone or end the drain.
  void setZoneDrained(bool is_drained);
  /// Sets the configuration of the server's service.
  void setService(const model::Service& service);
  /// `ask` is called when a health check of the server is needed; pass the result to onHealth().
  void onHealthCheckNeeded(std::function<void()> ask) { check_health_ = std::move(ask); }
  void onHealth(const ServerHealth& health);
  /// Called when a request sent to the server at `sent` was lost or could not reach it. The server
  /// may have restarted since then.
  void onServerLost(TimePoint sent, TimePoint now) { cold_start_.suspectRestarted(sent, now); }
  ServerEndWatch& serverEnds() { return server_ends_; }
  /// `suspects` may be null: no request is refused as a crash suspect.
  void setSuspects(admission::CrashSuspects* suspects) { suspects_ = suspects; }
  /// Returns false if the request is a crash suspect that may not run here, or only as a trial. An
  /// egress that does not know of the suspect yet sends it like any other request.
  bool mayRun(RequestFingerprint whole, bool is_trial, TimePoint now) const;
  /// Accepts a trial; returns false while another trial of the same request is waiting or running.
  bool beginTrial(RequestFingerprint whole);
  /// Called when the trial has ended. `has_failed`: it may have run and was not answered.
  void endTrial(RequestFingerprint whole, bool has_failed);
  /// Returns whether servers ended under this request, or under one that it may turn out to be.
  bool hasServerEnds(const RequestFingerprints& request) const;
  /// Called when the server answered the request. Returns whether this cleared server ends.
  bool onRunAnswered(RequestFingerprint whole, TimePoint now) {
    return suspects_ != nullptr && suspects_->onAnswered(whole, now);
  }
  bool isCold(TimePoint now) const { return cold_start_.isCold(settings_.cold_start, now); }
  /// Announces a planned stop of this node: load reports tell egresses to send elsewhere. Requests
  /// that are still running shortly before `end` are answered then, with an unknown outcome.
  void announceStop(TimePoint end);
  /// Returns when requests must be answered because of a planned stop; TimePoint::max() without
  /// one.
  TimePoint stopDeadline() const;
  /// Returns whether a request with this target latency and deadline that starts now would most
  /// likely not be answered before the end of the planned stop.
  bool isTooLateInStop(Duration target, TimePoint deadline, TimePoint now) const;
  /// Returns whether a request with this deadline might be cut by the planned stop.
  bool mayOutlastStop(TimePoint deadline) const { return stop_end_ && deadline > *stop_end_; }
  /// From now on, new requests are refused.
  void beginStop() { is_stopped_ = true; }

  /// Returns the reason why new requests are refused now, if any.
  std::optional<proxy::Reason> refusal(const std::optional<proxy::HopClass>& hop) const;
  /// Called when an egress sent a request for `instance`, which it knows as a server of this
  /// ingress's service. It may know the entry of a restarted server earlier than this node.
  void onInstanceRequested(const std::string& instance);
  /// Called when the server at the address reported its instance id. `requested` is the instance
  /// that an egress asked for, as in onInstanceRequested(), or empty. Returns whether `instance` is
  /// known to belong to this ingress's service. Until it is, all requests are refused: the address
  /// may have been reassigned to a server of another service, which the id does not show.
  bool onInstanceReported(const std::string& instance, const std::string& requested, TimePoint now);
  /// Called when `instance` answered a request that only it may run.
  void onInstanceAnswered(const std::string& instance);
  /// Returns the instance of the server that requests are sent to; `fallback` while it is unknown.
  const std::string& instanceOr(const std::string& fallback) const {
    return instance_.empty() ? fallback : instance_;
  }
  const std::optional<model::ServerEntry>& server() const { return server_; }
  /// Returns the server's address, with `instance` as the id under which connections are pooled.
  model::Endpoint endpoint(const std::string& instance) const;
  void setAddress(Address address) { address_ = std::move(address); }

  /// Called for each request that arrives. Returns how late it is; see DeliveryDelay.
  Duration onDelivered(const std::optional<proxy::HopClass>& hop, TimePoint now);
  void resetDeliveryDelay() { delivery_delay_.reset(); }
  /// Called for each request that may run here.
  void onArrival(const Waiter& waiter, TimePoint now);
  /// Returns whether a request that arrives now would get a slot at once.
  bool hasSlotFor(const Waiter& waiter, TimePoint now) const;
  /// Returns why a request that arrives now would get no slot at once.
  proxy::Reason noSlotReason(TimePoint now) const;
  /// Gives the waiter a slot now, or queues it if it is expected to get a slot and its answer in
  /// time. Otherwise returns the reason for the refusal.
  std::optional<proxy::Reason> admit(Waiter& waiter, const WaitBounds& bounds, TimePoint now);
  void leave(Waiter& waiter) { queue_.remove(waiter); }
  /// Releases a slot and gives free slots to waiting requests.
  void release(TimePoint now);
  /// Called when the server answered a request with this target latency after `service_time`.
  void onAnswered(Duration target, Duration service_time);
  /// Called when the server answered or rejected a request.
  void onServerAnswer(bool is_rejection, TimePoint now) {
    rejections_.onAnswer(settings_.rejections, is_rejection, now);
  }
  /// Called for each answer of `instance` to a request that was sent at `sent`, with what it says
  /// about the limit of the server.
  void onLimitReport(const proxy::LimitReport& report, proxy::AnswerSource source,
                     const std::string& instance, TimePoint sent, TimePoint now);
  /// Called when an answer of `instance` said that it is leaving. It gets no further requests.
  void onSaidLeaving(const std::string& instance, TimePoint now);
  /// Called when an egress has learned this limit of `instance` from earlier answers. Needed after
  /// a restart of this node, because the server and its limit live on.
  void onLimitTold(double per_second, const std::string& instance, TimePoint now);
  const proxy::ServerLimit& serverLimit() const { return server_limit_; }
  /// Sets the handler for changes of the server's limit.
  void onLimitChanged(std::function<void(proxy::LimitChange)> handler) {
    limit_changed_ = std::move(handler);
  }
  /// Returns whether a request that can go elsewhere should be refused, because the server rejects
  /// many requests. Random; see RejectionRate.
  bool turnsAway(TimePoint now) const {
    return rejections_.turnsAway(settings_.rejections, now, environment_);
  }
  /// Returns the server's slowness now, relative to its usual speed; 1 if it never reported one.
  double slowness() const { return speed_.slowness(settings_.speed, environment_.now()); }
  /// Called when an answer of the server reported its slowness.
  void onSlowness(double slowness, TimePoint now) { speed_.onReport(slowness, now); }
  /// Returns whether a request with this target latency would miss `answer` because the server is
  /// slow now, and would not miss it at the server's usual speed.
  bool isTooSlowFor(Duration target, TimePoint answer, TimePoint now) const;
  LargeAnswers& largeAnswers() { return large_answers_; }
  /// Sets the scheduler of this machine's link, which must outlive the state. Null: not known.
  void setLink(const proxy::LinkScheduler* link) { link_ = link; }
  bool knowsLinkRate() const { return link_ != nullptr && link_->isActive(); }
  /// Returns whether requests with this target latency have large answers on average.
  bool expectsLargeAnswer(Duration target) const;
  /// Returns how long the link needs for the large answers that wait to be sent, and for those of
  /// the requests that run and wait here. Zero if its rate is not known.
  Duration linkBacklog() const;
  /// Returns by how much a request with a large answer that arrives now would exceed `latest`: it
  /// waits for a slot, runs, and is sent after all large answers that were accepted before. Zero if
  /// it is in time, and also if none was accepted before: then no other link would be earlier. The
  /// rate of the link must be known.
  Duration linkLateness(const Waiter& waiter, TimePoint latest, TimePoint now) const;
  /// Sends no requests to the server for `length`.
  void pause(Duration length, TimePoint now);

  proxy::HopLoad load() const;
  /// Returns the load for the answer to a request that was meant for `instance`. The limit of
  /// another instance of the server is left out: the egress may know a later one already.
  proxy::HopLoad loadFor(const std::string& instance) const;
  /// Returns how long the server works on a request with this target latency, on average.
  Duration expectedService(Duration target) const;
  /// Returns the retry delay for a refused request.
  Duration retryAfter() const;

  proxy::DeadlineQueue& deadlines() { return deadlines_; }
  const Settings& settings() const { return settings_; }
  /// Applies to requests that start from now on.
  void changeSettings(const Settings& settings) { settings_ = settings; }
  Statistics& statistics() { return statistics_; }
  proxy::RetryAccounts& retries() { return retries_; }
  /// `log` may be null.
  void setDecisionLog(proxy::DecisionLog* log) { log_ = log; }
  void note(const proxy::Decision& decision) const {
    if (log_ != nullptr) log_->onDecision(decision);
  }
  void note(proxy::ServerChange change, const EndpointId& server) const {
    if (log_ != nullptr) log_->onServerChange(change, server);
  }
  std::size_t running() const { return running_; }
  std::size_t waiting() const { return queue_.size(); }

  std::uint32_t connectionBudget(const ServiceName& service,
                                 const EndpointId& endpoint) const override;
  bool usable(const ServiceName& service, const EndpointId& endpoint) const override;
  std::vector<proxy::WarmServer> warmServers() const override { return {}; }

 private:
  std::uint32_t slots() const;
  /// Returns the number of slots that can be in use at a time. For a cold server it is lower, as
  /// the limited request rate cannot fill all slots.
  std::uint32_t usableSlots() const;
  void startOne(Waiter& waiter, TimePoint now);
  void checkHealthIfSuspected(TimePoint now);
  void applyLimitChange(proxy::LimitChange change, TimePoint now);
  void refuseLateWaiting(TimePoint now);
  void learnInstance(const std::string& instance);
  /// Whether an instance of unknown service has the address, and it is not time to check that
  /// again.
  bool isReplaced() const;
  void forgetReportsOfOthers(bool is_restart);
  bool isServerLeaving() const;
  Duration expectedWait(std::size_t ahead) const;
  bool hasFreeSlot(TimePoint now) const;
  WorkKind kindOf(const Waiter& waiter) const;
  bool mayTakeSlot(const Waiter& waiter, TimePoint now) const;
  bool mayOvertake(const Waiter& waiter) const;
  Waiter* nextToStart(TimePoint now) const;
  void refuseWaiting(proxy::Reason reason, TimePoint now);
  void dispatch(TimePoint now);
  void wakeWhenFree(TimePoint now);
  void wakeToCheckReserve();

  Settings settings_;
  proxy::RetryAccounts& retries_;
  Environment& environment_;
  Address address_;
  std::optional<model::ServerEntry> server_;
  std::string instance_;  ///< May be a later instance of the server than the one in `server_`.
  /// An instance of unknown service that has the server's address; empty if there is none.
  std::string unknown_instance_;
  TimePoint next_instance_check_;  ///< Until then, no request is sent to `unknown_instance_`.
  std::uint32_t connection_limit_ = 100;
  WorkQueue queue_;
  std::uint32_t running_ = 0;
  double service_time_us_;                     ///< Moving average over all requests.
  AverageByTarget service_time_by_target_us_;  ///< The same for each target latency.
  DeliveryDelay delivery_delay_;
  ServerSpeed speed_;
  ShortWorkReserve short_work_;
  RejectionRate rejections_;
  proxy::ServerLimit server_limit_;
  bool said_leaving_ = false;
  /// The instance that `server_limit_` and `said_leaving_` belong to.
  std::string reported_instance_;
  std::function<void(proxy::LimitChange)> limit_changed_;
  ServerEndWatch server_ends_;
  admission::CrashSuspects* suspects_ = nullptr;
  std::set<RequestFingerprint> trials_;  ///< Trials that wait or run here.
  ColdStart cold_start_;
  LargeAnswers large_answers_;
  const proxy::LinkScheduler* link_ = nullptr;
  std::function<void()> check_health_;
  TimePoint next_health_check_;  ///< Earliest time for the next health check.
  TimePoint paused_until_;
  TimerId wake_timer_ = 0;
  TimerId reserve_timer_ = 0;
  bool is_dispatching_ = false;
  std::optional<TimePoint> stop_end_;  ///< End of the planned stop, once announced.
  bool is_stopped_ = false;
  bool is_zone_drained_ = false;
  proxy::DeadlineQueue deadlines_;
  Statistics statistics_;
  proxy::DecisionLog* log_ = nullptr;
};

}  // namespace coursepond::ingress
