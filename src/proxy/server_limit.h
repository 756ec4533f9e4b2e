#pragma once

/// The rate of requests that a server accepts, as it reports it in its answers, and a token bucket
/// that keeps the requests sent to the server within that rate.

#include <optional>
#include <string_view>

#include "core/time.h"

namespace coursepond::proxy {

/// What the head of an answer says about the server's limit.
struct LimitReport {
  enum class Kind {
    kNone,        ///< No limit.
    kLimit,       ///< `per_second` is the limit.
    kUnreadable,  ///< A limit that cannot be read.
  };
  Kind kind = Kind::kNone;
  double per_second = 0;  ///< Requests per second from all nodes together; may be zero.
};

/// Lower limits count as this one, in requests per second: only the answer to a request shows that
/// a limit was lifted.
inline constexpr double kMinLimitPerSecond = 0.25;

/// Reads a limit as servers write it: a decimal number, not negative.
LimitReport readLimit(std::string_view text);

/// What an answer belongs to.
enum class AnswerSource {
  kRun,      ///< A request that the server ran.
  kRefusal,  ///< A request that the server refused.
  kHealth,   ///< A health check.
};

/// How a report changed the known limit.
enum class LimitChange { kNone, kNamed, kChanged, kLifted, kUnreadable };

/// Returns the name for log lines, such as "lifted".
std::string_view limitChangeName(LimitChange change);

/// The limit of one server, as far as this node knows it.
class ServerLimit {
 public:
  /// Processes the report of an answer to a request that was sent at `sent`. A limit holds until an
  /// answer without one arrives for a request that was run, and sent after the last report of the
  /// limit: answers to earlier requests may be older than that report, and other answers need not
  /// contain the limit. A report that cannot be read changes nothing.
  LimitChange onAnswer(const LimitReport& report, AnswerSource source, TimePoint sent,
                       TimePoint now);
  /// Processes a limit that another node had from an earlier answer. Ignored if this node has had
  /// an answer itself.
  LimitChange onTold(double per_second, TimePoint now);
  /// Forgets the limit, because the server was started anew.
  void reset();
  /// Sets the fraction of the limit that this node may use. The default is all of it.
  ///
  /// A share may be one request in many seconds. It then expires if it is not used within a second,
  /// or nodes that had nothing to send would together have one request each for the same moment.
  void setShare(double share) { share_ = share; }
  /// Sets how much of its first request (0 to 1) the node has when the limit is named. It should
  /// differ between the nodes that share a limit.
  void setPhase(double phase) { phase_ = phase; }

  /// The limit in requests per second; empty if there is none.
  std::optional<double> perSecond() const { return per_second_; }
  /// Returns whether an answer of the server, or another node, told whether there is a limit.
  bool isKnown() const { return is_known_; }

  /// Returns when the next request may be sent; `now` if one may be sent at once.
  TimePoint nextStart(TimePoint now) const { return now + waitFor(1, now); }
  bool mayStart(TimePoint now) const { return waitFor(1, now) == Duration(0); }
  /// Returns the time until this many requests may have been sent.
  Duration waitFor(double requests, TimePoint now) const;
  /// Must be called for each request that is sent to the server.
  void onStarted(TimePoint now);

 private:
  LimitChange setLimit(double per_second, TimePoint now);
  double rate() const;
  double depth() const;
  double tokensAt(TimePoint now) const;

  double share_ = 1;
  double phase_ = 0;
  bool is_known_ = false;
  std::optional<double> per_second_;
  TimePoint reported_at_;  ///< When the limit was last reported.
  double tokens_ = 0;      ///< Requests that could be sent at `filled_at_`.
  TimePoint filled_at_;
};

}  // namespace coursepond::proxy
