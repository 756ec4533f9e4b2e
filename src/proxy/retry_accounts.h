#pragma once

/// What this node adds to the arrivals at each service beyond the first of each request: requests
/// that it sends to a further server, and the calls of its own server's runs that are repeats.
/// Shared by the egress and the ingress of a node.
///
/// A run that is a repeat makes its calls once more, and the called service sees them all beside
/// the repeats that are made for it on purpose. If each hop kept a ratio of its own, the ratios
/// would add up along the path: measured in a mesh of 13 nodes whose called service lost three of
/// ten answers, 1,876 arrivals beyond the first in 10 s where 1,380 were allowed. So one allowance
/// per service pays for both, and a repeated run is let in only while its calls can be paid for.

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
#include "proxy/call_profile.h"
#include "proxy/retry_allowance.h"

namespace coursepond::proxy {

/// Why a request goes to a further server.
enum class RepeatReason {
  kServerFailed,   ///< The server answered with a failure of its own.
  kServerRefused,  ///< The server rejected it without running it.
  kAnswerLost,     ///< The connection ended, or the answer was not the request's.
  kIngressSilent,  ///< The ingress did not say that it has the request.
  kIngressLost,    ///< The ingress ended before it said that it has the request.
  kOtherInstance,  ///< Another start of the server has the address.
};
inline constexpr std::size_t kRepeatReasons = 6;

/// The stable word for metrics and log lines: "server_failed".
std::string_view repeatWord(RepeatReason reason);

/// What a repeat may use of the allowance.
enum class RepeatUse {
  kAll,
  /// Leaves half of the node's part to others: little is gained by this one, or it costs more.
  kHalf,
};

/// What a node may add to the arrivals at a service.
struct RetryAllowanceSettings {
  /// Of its first attempts at a service,
  double ratio = 0.15;
  /// and in a burst: this many divided by the number of nodes.
  double burst = 45;
};

/// What was counted for one service. Never reset.
struct RetryStatistics {
  std::uint64_t first_attempts = 0;
  std::array<std::uint64_t, kRepeatReasons> repeats{};  ///< By RepeatReason.
  std::uint64_t given_back = 0;   ///< Of the repeats, those that no server saw.
  std::uint64_t denied = 0;       ///< Repeats, for want of allowance.
  std::uint64_t runs_denied = 0;  ///< Repeated runs of the own server, which would call it.
  double calls_of_repeats = 0;    ///< Calls by runs that are repeats, of a whole call each.
};

/// One service, as seen from this node.
struct RetryAccount {
  RetryAllowance allowance;
  std::optional<TimePoint> last_asked;  ///< When a repeat for this service was last wanted here.
  RetryStatistics statistics;
};

/// A request that the ingress has taken in for its server.
struct ServerRun {
  std::string request;      ///< Its id.
  double repeat_share = 0;  ///< See HopClass::repeat_share.
  bool is_call = false;     ///< See HopClass::is_call.
  bool is_running = false;  ///< The server has it.
  TenantName tenant{};      ///< Whose it is; empty: nobody's. Its calls are the same tenant's.
  /// Charged already for calls that it has not made yet.
  std::map<ServiceName, double> held = {};
};

class RetryAccounts {
 public:
  /// `environment` must outlive the accounts.
  explicit RetryAccounts(Environment& environment, RetryAllowanceSettings settings = {})
      : environment_(environment), settings_(settings) {}

  /// The burst is divided by so many nodes. A smaller number counts only when it has stood for a
  /// while: entries lapse while the source is away, and the parts of nodes that see few others
  /// would add up to more than the burst.
  void setNodes(std::size_t nodes);
  /// By how many nodes the burst is divided; zero: not known yet.
  std::size_t nodes() const { return nodes_; }
  /// For repeats from now on.
  void changeSettings(RetryAllowanceSettings settings);

  // ---- Of the egress

  /// A request that began at this node is sent for the first time. Returns how likely it is that it
  /// counts as a repeat, because a repeated run of the own server makes it.
  double onFirstAttempt(const ServiceName& service, std::string_view request);
  /// Whether a run of the own server makes this request.
  bool isCall(std::string_view request) const { return parentOf(request) != nullptr; }
  /// Whether the request's id says that it is a call, of whatever work.
  static bool namesParent(std::string_view request);
  /// The run of the own server that makes this request; null when none is known to. Good until the
  /// next call of remove().
  const ServerRun* callerOf(std::string_view request) const { return parentOf(request); }
  /// Whether the request may go to a further server; if so it is charged.
  bool takeRepeat(const ServiceName& service, RepeatReason reason, RepeatUse use);
  /// What was taken last for this service reached no server.
  void giveBackRepeat(const ServiceName& service);

  // ---- Of the ingress

  /// Takes the run in: false if it is a repeat whose calls cannot be paid for. `run` must stay
  /// where it is until remove().
  bool admit(ServerRun& run);
  void onStarted(ServerRun& run);
  void remove(ServerRun& run);

  const std::map<ServiceName, RetryAccount>& all() const { return accounts_; }

 private:
  RetryAccount& account(const ServiceName& service);
  void applySettings(RetryAccount& account) const;
  double draw();
  bool payForCalls(ServerRun& run);
  double keptForRepeats(const RetryAccount& account) const;
  void giveBackHeld(ServerRun& run);
  ServerRun* parentOf(std::string_view request) const;
  void learnOfCalls();
  void chargeCall(ServerRun* parent, const ServiceName& service, double repeat_share);

  Environment& environment_;
  RetryAllowanceSettings settings_;
  std::size_t nodes_ = 0;        ///< Zero: not known yet, and the part of the burst is zero.
  TimePoint fewer_nodes_since_;  ///< While fewer than `nodes_` are told.
  bool is_told_fewer_ = false;
  std::map<ServiceName, RetryAccount> accounts_;
  CallProfile profile_;
  std::unordered_multimap<std::string, ServerRun*> runs_;  ///< By request id.
  /// Whether a call of this mesh was known by its id: then those of the own server are, too.
  bool knows_calls_ = false;
};

}  // namespace coursepond::proxy
