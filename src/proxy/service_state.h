#pragma once

#include "core/environment.h"
#include "model/configuration.h"
#include "proxy/admission_queue.h"
#include "proxy/balancer.h"
#include "proxy/deadline_queue.h"
#include "proxy/outlier_detector.h"
#include "proxy/proxy_state.h"
#include "proxy/request_flow.h"
#include "proxy/retry_budget.h"
#include "proxy/server_set.h"

namespace coursepond::proxy {

/// State that is shared by all services of a node. The members outlive every ServiceState.
struct ServiceContext {
  const ZoneId& own_zone;
  const Settings& settings;
  const std::size_t& node_count;
  Environment& environment;
  DeadlineQueue& deadlines;
  ProxyStatistics& statistics;
};

/// One service on one node: its servers, its queue and its retry budget. Assigns slots to requests
/// and updates the state of servers with the results of attempts.
class ServiceState : private DeadlineEntry {
 public:
  explicit ServiceState(ServiceContext context);

  /// Applies the service's settings from a new snapshot.
  void configure(const model::Service& service);
  const model::Service& service() const { return service_; }

  void updateEndpoints(const model::EndpointSet& record, TimePoint now);
  const ServerSet& servers() const { return servers_; }
  /// Returns whether this object has no servers and no requests, and may be removed.
  bool idle() const { return queue_.empty() && in_flight_ == 0 && servers_.all().empty(); }

  /// Admits a new request, which gets a slot at once or waits. Returns a reason if it is refused.
  /// `latest` is the time until which it would wait.
  std::optional<Reason> admit(Waiter& waiter, TimePoint latest, TimePoint now);
  /// Puts a request at the front of the queue for a further attempt. Call dispatch() afterwards.
  void readmit(Waiter& waiter) { queue_.reenter(waiter); }
  /// Removes the request from the queue. Does nothing if it is not waiting.
  void leave(Waiter& waiter) { queue_.leave(waiter); }
  /// Releases a slot. Call dispatch() afterwards.
  void release(ServerState& server, model::Priority priority, TimePoint now);
  /// Assigns free slots to waiting requests. If `released` is not null, it is tried first.
  void dispatch(const ServerPointer& released, TimePoint now);

  /// Called when the head of an answer arrived `latency` after the attempt began.
  void onAnswered(ServerState& server, const AnswerHead& head, Duration latency, TimePoint now);
  /// Called when the server answered that it did not run the request, which was sent `latency` ago.
  void onRefused(ServerState& server, const AnswerHead& head, Duration latency, TimePoint now);
  void onFailed(ServerState& server, AttemptFailure failure, TimePoint now);
  /// Called when the attempt was cancelled at the deadline and the server had enough time to count
  /// this as its failure.
  void onTimedOut(ServerState& server, TimePoint now);

  RetryBudget& retryBudget() { return retry_budget_; }
  /// Returns the time after which a refused caller should retry: the expected wait in the queue,
  /// within bounds.
  Duration retryAfter() const;

  /// Returns the average latency of the service's answers.
  Duration usualLatency() const;

  /// Returns this node's even share of one server's connections.
  std::uint32_t connectionShare() const;

 private:
  /// State of the other usable servers, with which a failing server is compared.
  struct PeerHealth {
    std::size_t ejected = 0;
    double failure_rate = 0;  ///< Average of those that are not ejected.
  };

  void onDeadline(TimePoint now) override { dispatch(nullptr, now); }

  PickRequest pickRequest(const Waiter& waiter) const;
  void assign(Waiter& waiter, const ServerPointer& server, TimePoint now);
  bool assignFront(model::Priority priority, const ServerPointer& released, TimePoint now);
  ServerPointer choose(const Waiter& waiter, const ServerPointer& released, TimePoint now) const;
  void refuseAll(Reason reason, TimePoint now);
  void scheduleWake(TimePoint now);

  void recordServed(TimePoint now);
  Duration expectedWait(double ahead) const;
  Duration serviceTime(const ServerState& server, TimePoint now) const;
  /// Sends no requests to a server for about the time until one of its slots is free.
  void backOffUntilSlotFrees(ServerState& server, TimePoint now) const;
  static void recordLoad(ServerState& server, const AnswerHead& head);
  void recordLimit(ServerState& server, const AnswerHead& head, AnswerSource source, TimePoint sent,
                   TimePoint now) const;
  /// Returns the time until some server's limit allows a request.
  Duration waitForLimits(TimePoint now) const;
  void recordAccepted(ServerState& server, bool reports_full) const;
  void recordFailure(ServerState& server, TimePoint now);
  PeerHealth peersOf(const ServerState& server, TimePoint now) const;

  ServiceContext context_;
  model::Service service_;
  ServerSet servers_;
  AdmissionQueue queue_;
  RetryBudget retry_budget_;
  OutlierDetector outliers_;
  Balancer balancer_;
  DecayingAverage average_latency_ms_;
  DecayingAverage serving_interval_ms_;  ///< Time between two slots given to waiting requests.
  TimePoint last_served_;
  bool serving_ = false;  ///< The queue has not been empty since last_served_.
  std::size_t in_flight_ = 0;
};

}  // namespace coursepond::proxy
