#pragma once

/// Classifies the outcome of a request from the point of view of its caller.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/ids.h"
#include "request_mix.h"

namespace coursepond::load {

enum class Outcome {
  kAnswered,  ///< Status 2xx with the complete and correct body.
  kNotRun,    ///< Refused; the refusal states that the request did not run.
  kUnknown,   ///< Failed; the answer leaves open whether the request ran.
  kCut,       ///< The connection was closed in the middle of the answer.
  kNoAnswer,  ///< Connection closed before an answer began, or timeout.
  kNotSent,   ///< No connection to any target succeeded.
  kMixedUp,   ///< The answer belongs to another request or is corrupted.
  kShort,     ///< The answer looks complete by HTTP rules, but its body is too short.
};

inline constexpr std::array kOutcomes{Outcome::kAnswered, Outcome::kNotRun,   Outcome::kUnknown,
                                      Outcome::kCut,      Outcome::kNoAnswer, Outcome::kNotSent,
                                      Outcome::kMixedUp,  Outcome::kShort};

/// Returns the name used in reports: "answered", "not_run", ...
std::string_view outcomeName(Outcome outcome);

/// How an exchange over a connection ended.
enum class ExchangeEnd {
  kAnswer,         ///< A complete HTTP response was received.
  kConnectFailed,  ///< The connection attempt failed; nothing was sent.
  kClosed,         ///< Closed before an answer began.
  kClosedReused,   ///< Like kClosed, on a connection that had already carried an answer.
  kCutAnswer,      ///< Closed in the middle of the answer.
  kTimeout,
};

/// The parts of an answer that are needed to classify it.
struct Answer {
  unsigned status = 0;
  std::string request_id;
  std::string outcome;
  std::string reason;
  Version configuration_version;  ///< Zero when the answer has no such header.
  bool keep_alive = false;
  std::string body;
};

/// An outcome and its cause, which reports count separately.
struct Classification {
  Outcome outcome = Outcome::kNoAnswer;
  std::string reason;
};

/// Classifies a finished exchange. `answer` is only read when `end` is kAnswer.
Classification classify(const RequestKind& kind, std::string_view request_id, ExchangeEnd end,
                        const Answer& answer);

}  // namespace coursepond::load
