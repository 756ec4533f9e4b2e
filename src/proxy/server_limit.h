#pragma once

/// The rate of requests that a server accepts, as it reports it in its answers.

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

class ServerLimit {
 public:
  /// Processes the report of an answer to a request that was sent at `sent`. A limit holds until an
  /// answer without one arrives for a request that was run, and sent after the last report of the
  /// limit: answers to earlier requests may be older than that report, and other answers need not
  /// contain the limit. A report that cannot be read changes nothing.
  LimitChange onAnswer(const LimitReport& report, AnswerSource source, TimePoint sent,
                       TimePoint now);
  /// Forgets the limit, because the server was started anew.
  void reset() { *this = ServerLimit(); }

  /// The limit in requests per second; empty if there is none.
  std::optional<double> perSecond() const { return per_second_; }

 private:
  LimitChange setLimit(double per_second);

  std::optional<double> per_second_;
  TimePoint reported_at_;  ///< When the limit was last reported.
};

}  // namespace coursepond::proxy
