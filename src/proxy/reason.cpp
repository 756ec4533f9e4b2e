#include "proxy/reason.h"

namespace coursepond::proxy {

std::string_view reasonName(Reason reason) {
  switch (reason) {
    case Reason::kNoConfiguration:
      return "no_configuration";
    case Reason::kNoRoute:
      return "no_route";
    case Reason::kStaleConfiguration:
      return "stale_configuration";
    case Reason::kUnknownApiKey:
      return "unknown_api_key";
    case Reason::kUnknownParent:
      return "unknown_parent";
    case Reason::kQuotaExceeded:
      return "quota_exceeded";
    case Reason::kAmbiguousPath:
      return "ambiguous_path";
    case Reason::kStopping:
      return "stopping";
    case Reason::kNoServer:
      return "no_server";
    case Reason::kQueueFull:
      return "queue_full";
    case Reason::kBatchShed:
      return "batch_shed";
    case Reason::kDeadlineTooShort:
      return "deadline_too_short";
    case Reason::kNoFreeSlot:
      return "no_free_slot";
    case Reason::kServerLimit:
      return "server_limit";
    case Reason::kLinkFull:
      return "link_full";
    case Reason::kServerRejecting:
      return "server_rejecting";
    case Reason::kServerSlow:
      return "server_slow";
    case Reason::kCrashesServers:
      return "crashes_servers";
    case Reason::kQueueTimeout:
      return "queue_timeout";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kServerDraining:
      return "server_draining";
    case Reason::kZoneDrained:
      return "zone_drained";
    case Reason::kWrongService:
      return "wrong_service";
    case Reason::kUnknownInstance:
      return "unknown_instance";
    case Reason::kRetryBudget:
      return "retry_budget";
    case Reason::kOtherInstance:
      return "other_instance";
    case Reason::kServerRefused:
      return "server_refused";
    case Reason::kConnectFailed:
      return "connect_failed";
    case Reason::kConnectionLost:
      return "connection_lost";
    case Reason::kMalformedAnswer:
      return "malformed_answer";
  }
  return "unknown";
}

std::string_view failureName(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kConnectFailed:
      return "connect_failed";
    case AttemptFailure::kNoConnectionFree:
      return "no_connection_free";
    case AttemptFailure::kClosedUnsent:
      return "closed_unsent";
    case AttemptFailure::kCannotReplay:
      return "cannot_replay";
    case AttemptFailure::kLostAfterSend:
      return "lost_after_send";
    case AttemptFailure::kMalformedAnswer:
      return "malformed_answer";
  }
  return "unknown";
}

}  // namespace coursepond::proxy
