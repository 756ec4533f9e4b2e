#include "outcome.h"

#include "answer_body.h"
#include "core/http_headers.h"

namespace coursepond::load {

namespace {

constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;

Classification classifySuccess(const RequestKind& kind, std::string_view request_id,
                               const Answer& answer) {
  if (answer.request_id != request_id) return {Outcome::kMixedUp, "foreign request id"};
  switch (standin::checkAnswerBody(request_id, kind.answer_bytes, answer.body)) {
    case standin::AnswerBodyCheck::kRight:
      return {Outcome::kAnswered, ""};
    case standin::AnswerBodyCheck::kShort:
      return {Outcome::kShort, "body too short"};
    case standin::AnswerBodyCheck::kForeign:
      return {Outcome::kMixedUp, "foreign body"};
  }
  return {Outcome::kMixedUp, "foreign body"};
}

Classification classifyAnswer(const RequestKind& kind, std::string_view request_id,
                              const Answer& answer) {
  if (answer.status >= kFirstSuccess && answer.status < kFirstRedirect) {
    return classifySuccess(kind, request_id, answer);
  }
  const std::string reason =
      answer.reason.empty() ? "status " + std::to_string(answer.status) : answer.reason;
  const bool not_run = answer.outcome == http_headers::kOutcomeNotRun;
  return {not_run ? Outcome::kNotRun : Outcome::kUnknown, reason};
}

}  // namespace

std::string_view outcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kCut:
      return "cut";
    case Outcome::kNoAnswer:
      return "no_answer";
    case Outcome::kNotSent:
      return "not_sent";
    case Outcome::kMixedUp:
      return "mixed_up";
    case Outcome::kShort:
      return "short";
  }
  return "";
}

Classification classify(const RequestKind& kind, std::string_view request_id, ExchangeEnd end,
                        const Answer& answer) {
  switch (end) {
    case ExchangeEnd::kAnswer:
      return classifyAnswer(kind, request_id, answer);
    case ExchangeEnd::kConnectFailed:
      return {Outcome::kNotSent, "no connection"};
    case ExchangeEnd::kClosed:
      return {Outcome::kNoAnswer, "closed"};
    case ExchangeEnd::kClosedReused:
      return {Outcome::kNoAnswer, "kept connection closed"};
    case ExchangeEnd::kCutAnswer:
      return {Outcome::kCut, "closed inside the answer"};
    case ExchangeEnd::kTimeout:
      return {Outcome::kNoAnswer, "timeout"};
  }
  return {Outcome::kNoAnswer, ""};
}

}  // namespace coursepond::load
