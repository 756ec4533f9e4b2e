#pragma once

/// Retry budgets of this node, one per called service. A budget limits the requests that the node
/// adds to the first arrival of each request: repeats that it sends to a further server, and calls
/// made by repeated runs of its own server. Shared by the egress and the ingress of a node.
///
/// A repeated run makes its calls once more, so the called service receives these in addition to
/// the repeats that are sent to it directly. If each hop had a ratio of its own, the ratios would
/// add up along the path: in a mesh of 13 nodes whose called service lost three of ten answers,
/// that made 1,876 additional arrivals in 10 s where 1,380 were allowed. Therefore one budget per
/// service pays for both, and a repeated run is only admitted while the budget covers its calls.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/environment.h"
#include "core/ids.h"
#include "proxy/call_outcomes.h"
#include "proxy/call_profile.h"
#include "proxy/retry_allowance.h"

namespace coursepond::proxy {

/// Why a request is sent to a further server.
enum class RepeatReason {
  kServerFailed,   ///< The server answered with an error of its own.
  kServerRefused,  ///< The server rejected the request without running it.
  kAnswerLost,     ///< The connection was lost, or the answer belonged to another request.
  kIngressSilent,  ///< The ingress did not confirm in time that it received the request.
  kIngressLost,    ///< The ingress ended before it confirmed that it received the request.
  kOtherInstance,  ///< Another instance of the server now has the address.
};
inline constexpr std::size_t kRepeatReasons = 6;

/// Returns the stable name for metrics and log lines, such as "server_failed".
std::string_view repeatReasonName(RepeatReason reason);

/// How much of the retry budget a repeat may use.
enum class RetryBudgetUse {
  kAll,
  /// Leaves half of the node's share to other repeats, because this one is less useful or costs
  /// more.
  kHalf,
};

/// Bounds for the repeats that a node may add to the arrivals at a service.
struct RetryAllowanceSettings {
  /// Repeats per first attempt that the node sends to the service.
  double ratio = 0.15;
  /// Burst of all nodes, in repeats. Each node gets an equal share of it.
  double burst = 45;
};

/// Counters for one service. Never reset.
struct RetryStatistics {
  std::uint64_t first_attempts = 0;
  std::array<std::uint64_t, kRepeatReasons> repeats{};  ///< By RepeatReason.
  std::uint64_t given_back = 0;   ///< Repeats that reached no server and were refunded.
  std::uint64_t denied = 0;       ///< Repeats denied because the budget was used up.
  std::uint64_t runs_denied = 0;  ///< Repeated runs refused because they would call this service.
  double calls_of_repeats = 0;    ///< Sum of the repeat shares of calls to this service.
  std::uint64_t spared = 0;       ///< Repeats of calls left out because a sibling call had failed.
};

/// Retry budget and counters of this node for one service.
struct RetryAccount {
  RetryAllowance allowance;
  std::optional<TimePoint> last_asked;  ///< When a repeat for this service was last requested.
  RetryStatistics statistics;
};

/// The calls that one run of this node's server has made so far.
struct RunCalls {
  std::uint32_t made = 0;
  std::uint32_t open = 0;     ///< Of these, those without a final answer.
  std::uint32_t at_risk = 0;  ///< Of the open ones, those that were rejected or failed before.
  bool has_failed = false;    ///< A call has failed for good.
};

/// What is known of the other calls of the run that makes a call.
enum class SiblingState {
  kNone,     ///< There is none, or all of them have succeeded.
  kOpen,     ///< One has no answer yet.
  kAtRisk,   ///< One was rejected or failed, and may be repeated.
  kRunLost,  ///< One has failed for good, and the run most likely fails with it.
};

/// A request that the ingress has admitted for its server.
struct ServerRun {
  std::string request;      ///< Request id.
  double repeat_share = 0;  ///< See HopClass::repeat_share.
  bool is_call = false;     ///< See HopClass::is_call.
  bool is_running = false;  ///< The request was sent to the server.
  TenantName tenant{};      ///< Tenant of the request and of its calls; empty if it has none.
  /// Cost of calls that are already charged but not made yet, by called service.
  std::map<ServiceName, double> prepaid = {};
  Duration target{};  ///< Target latency of the request.
  RunCalls calls = {};
  std::optional<bool> has_failed = std::nullopt;  ///< The server answered with an error (5xx).
};

class RetryAccounts {
 public:
  /// `environment` must outlive the accounts.
  explicit RetryAccounts(Environment& environment, RetryAllowanceSettings settings = {})
      : environment_(environment), settings_(settings) {}

  /// Sets the number of nodes that share the burst. A smaller number only takes effect after the
  /// number was smaller for a while: entries lapse while the source is unavailable, and the shares
  /// of nodes that then see only a few others would add up to more than the burst.
  void setNodes(std::size_t nodes);
  /// Returns the number of nodes that share the burst, or zero if it is not known yet.
  std::size_t nodes() const { return nodes_; }
  /// Takes effect for repeats from now on.
  void changeSettings(RetryAllowanceSettings settings);

  // ---- Egress

  /// Called when a request that started on this node is sent for the first time. Returns the
  /// probability that it counts as a repeat because a repeated run of this node's server makes it.
  double onFirstAttempt(const ServiceName& service, std::string_view request);
  /// Returns whether a current run of this node's server makes this request.
  bool isCall(std::string_view request) const { return parentOf(request) != nullptr; }
  /// Returns whether the request id has the form of a call, whether its parent is known or not.
  static bool namesParent(std::string_view request);
  /// Returns the run of this node's server that makes this request, or null if none is known. Valid
  /// until the next call of remove().
  const ServerRun* callerOf(std::string_view request) const { return parentOf(request); }
  /// Charges a repeat if the budget covers it. Returns whether the request may be sent to a further
  /// server.
  bool spendRepeat(const ServiceName& service, RepeatReason reason, RetryBudgetUse use);
  /// Called when a call starts and when it has its final answer. `has_failed`: that answer is an
  /// error. Without effect once the run has ended.
  void onCallStarted(std::string_view request);
  void onCallEnded(std::string_view request, bool was_at_risk, bool has_failed);
  /// Called when a call was rejected or failed for the first time.
  void onCallAtRisk(std::string_view request);
  /// Returns the state of the siblings of a call. `is_at_risk`: onCallAtRisk() was called for it.
  SiblingState siblings(std::string_view request, bool is_at_risk) const;
  /// Returns whether the budget covers the repeats of all calls of the same run that are at risk,
  /// if there are several. One repeat alone does not save the run then.
  bool coversSiblings(const ServiceName& service, std::string_view request);
  /// Counts a repeat that was left out because of SiblingState::kRunLost.
  void onRepeatSpared(const ServiceName& service) { ++account(service).statistics.spared; }
  /// Runs of this node's server of which a call failed for good. Never reset.
  std::uint64_t lostRuns() const { return lost_runs_; }
  /// Repeated runs that were refused because their calls would probably fail. Never reset.
  std::uint64_t runsUnservable() const { return runs_unservable_; }
  /// Refunds the last repeat for this service because it reached no server.
  void refundRepeat(const ServiceName& service);

  // ---- Ingress

  /// Admits the run. Returns false if it is a repeat whose calls the budget does not cover or would
  /// probably fail. `run` must keep its address until remove().
  bool admit(ServerRun& run);
  void onStarted(ServerRun& run);
  void remove(ServerRun& run);

  const std::map<ServiceName, RetryAccount>& all() const { return accounts_; }

 private:
  RetryAccount& account(const ServiceName& service);
  void applySettings(RetryAccount& account) const;
  double draw();
  bool prepayCalls(ServerRun& run);
  double reservedForRepeats(const RetryAccount& account) const;
  void refundPrepaid(ServerRun& run);
  ServerRun* parentOf(std::string_view request) const;
  void onCallIdentified();
  void chargeCall(ServerRun* parent, const ServiceName& service, double repeat_share);

  Environment& environment_;
  RetryAllowanceSettings settings_;
  std::size_t nodes_ = 0;  ///< Zero if not known yet; this node's share of the burst is then zero.
  TimePoint fewer_nodes_since_;   ///< Valid while `has_fewer_nodes_`.
  bool has_fewer_nodes_ = false;  ///< setNodes() was last called with fewer nodes than `nodes_`.
  std::map<ServiceName, RetryAccount> accounts_;
  CallProfile profile_;
  std::unordered_multimap<std::string, ServerRun*> runs_;  ///< By request id.
  /// Whether any call in this mesh was identified by its id. The calls of this node's server can
  /// then be identified, too.
  bool can_identify_calls_ = false;
  std::uint64_t lost_runs_ = 0;
  std::uint64_t runs_unservable_ = 0;
  CallOutcomes outcomes_;
};

}  // namespace coursepond::proxy
