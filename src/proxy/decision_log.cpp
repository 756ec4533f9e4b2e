#include "proxy/decision_log.h"

namespace coursepond::proxy {

std::string_view decisionName(DecisionKind kind) {
  switch (kind) {
    case DecisionKind::kForwarded:
      return "forwarded";
    case DecisionKind::kAttemptResumed:
      return "attempt_resumed";
    case DecisionKind::kAttemptEnded:
      return "attempt_ended";
    case DecisionKind::kRepeatDenied:
      return "repeat_denied";
    case DecisionKind::kAnsweredItself:
      return "answered_itself";
    case DecisionKind::kAnswerCut:
      return "answer_cut";
    case DecisionKind::kCallerGone:
      return "caller_gone";
    case DecisionKind::kServerEndsCleared:
      return "server_ends_cleared";
  }
  return "unknown";
}

std::string_view changeName(ServerChange change) {
  switch (change) {
    case ServerChange::kListed:
      return "server_listed";
    case ServerChange::kLeaving:
      return "server_leaving";
    case ServerChange::kSaidLeaving:
      return "server_said_leaving";
    case ServerChange::kReplaced:
      return "server_replaced";
    case ServerChange::kLapsed:
      return "server_lapsed";
    case ServerChange::kForgotten:
      return "server_forgotten";
    case ServerChange::kUnreachable:
      return "server_unreachable";
    case ServerChange::kReached:
      return "server_reached";
  }
  return "unknown";
}

}  // namespace coursepond::proxy
