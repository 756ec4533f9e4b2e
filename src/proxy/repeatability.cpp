#include "proxy/repeatability.h"

namespace coursepond::proxy {

bool mayRunTwice(model::Repeatability repeatability, std::string_view method) {
  switch (repeatability) {
    case model::Repeatability::kAlways:
      return true;
    case model::Repeatability::kNever:
      return false;
    case model::Repeatability::kByMethod:
      return method == "GET" || method == "HEAD" || method == "OPTIONS";
  }
  return false;
}

AttemptEffect effectOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kConnectFailed:
    case AttemptFailure::kNoConnectionFree:
    case AttemptFailure::kClosedUnsent:
    case AttemptFailure::kCannotReplay:
      return AttemptEffect::kNotRun;
    case AttemptFailure::kLostAfterSend:
    case AttemptFailure::kMalformedAnswer:
      return AttemptEffect::kMayHaveRun;
  }
  return AttemptEffect::kMayHaveRun;
}

bool canBeRetried(AttemptFailure failure) { return failure != AttemptFailure::kCannotReplay; }

bool isLocalFailure(AttemptFailure failure) {
  return failure == AttemptFailure::kNoConnectionFree || failure == AttemptFailure::kClosedUnsent;
}

}  // namespace coursepond::proxy
