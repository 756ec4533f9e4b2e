#pragma once

/// What this node adds to the arrivals at each service beyond the first of each request: requests
/// that it sends to a further server, and the calls of its own server's runs that are repeats.
/// Shared by the egress and the ingress of a node.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

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
  std::uint64_t denied = 0;                             ///< Repeats, for want of allowance.
  double calls_of_repeats = 0;  ///< Calls by runs that are repeats, as expected from averages.
};

/// One service, as seen from this node.
struct RetryAccount {
  explicit RetryAccount(double ratio) : allowance(ratio) {}
  RetryAllowance allowance;
  RetryStatistics statistics;
};

class RetryAccounts {
 public:
  explicit RetryAccounts(RetryAllowanceSettings settings = {}) : settings_(settings) {}

  /// The burst is divided by so many nodes.
  void setNodes(std::size_t nodes);

  // Of the egress.
  void onFirstAttempt(const ServiceName& service);
  /// Whether the request may go to a further server; if so it is charged.
  bool takeRepeat(const ServiceName& service, RepeatReason reason);
  /// The own server calls `service`.
  void onCall(const ServiceName& service);
  /// How likely it is that a call of the own server is one of a repeated run.
  double repeatShareOfCalls() const { return profile_.repeatShare(); }

  // Of the ingress.
  void onRunStarted(double repeat_share);
  void onRunEnded(double repeat_share) { profile_.onRunEnded(repeat_share); }

  const std::map<ServiceName, RetryAccount>& all() const { return accounts_; }

 private:
  RetryAccount& account(const ServiceName& service);

  RetryAllowanceSettings settings_;
  std::size_t nodes_ = 1;
  std::map<ServiceName, RetryAccount> accounts_;
  CallProfile profile_;
};

}  // namespace coursepond::proxy
