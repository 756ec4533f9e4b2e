#pragma once

/// Reports the decisions on each request, so that a failure can be explained afterwards.

#include <cstdint>
#include <string_view>

#include "core/ids.h"
#include "core/request_fingerprint.h"
#include "core/time.h"

namespace coursepond::proxy {

enum class DecisionKind {
  kForwarded,       ///< A server's answer is forwarded.
  kAttemptResumed,  ///< The attempt that was kept open is the current one again.
  kAttemptEnded,    ///< An attempt ended without an answer to forward.
  kRepeatDenied,    ///< No further attempt, because the retry budget is used up.
  kAnsweredItself,  ///< This node itself gave the final answer.
  kAnswerCut,       ///< A server's answer was truncated while it was forwarded.
  kCallerGone,      ///< The caller disconnected, and its running attempt was cancelled.
  /// The answer cleared the server ends that were recorded under the request's fingerprint.
  kServerEndsCleared,
};

/// Returns the name for log lines, such as "attempt_ended".
std::string_view decisionName(DecisionKind kind);

/// Values of Decision::side.
inline constexpr std::string_view kEgressSide = "egress";
inline constexpr std::string_view kIngressSide = "ingress";

/// The state that a decision was based on. An egress sets the ages, an ingress the load and the
/// delay.
struct DecisionInputs {
  Duration configuration_age{};  ///< Time since the version came into force on this node.
  Duration entry_age{};          ///< Time since the server's entry last changed on this node.
  std::uint32_t running = 0;     ///< Requests running on the server.
  std::uint32_t waiting = 0;     ///< Requests waiting for a slot.
  Duration queued{};             ///< Time from the request's arrival until its server received it.
  /// How much longer the request was on its way than the fastest recent one of the same sender.
  Duration delivery_delay{};
};

/// One decision. The string views are only valid during the call.
struct Decision {
  DecisionKind kind = DecisionKind::kForwarded;
  std::string_view side;             ///< kEgressSide or kIngressSide.
  std::string_view request;          ///< Request id.
  RequestFingerprints fingerprints;  ///< As far as they are known.
  std::string_view service;          ///< Empty if no route matched.
  std::uint32_t attempt = 0;
  std::string_view server;  ///< Server of the attempt; empty if there was none.
  /// A stable name. For kForwarded: why the repeat yielded no answer, or empty without a repeat.
  std::string_view reason;
  int status = 0;      ///< Status sent to the caller; zero for kAttemptEnded.
  Duration elapsed{};  ///< Time since the request started on this node.
  Version version;     ///< Version of the configuration that the request uses.
  DecisionInputs inputs;
};

/// A change in what this node knows of a server.
enum class ServerChange {
  kListed,       ///< The server is new or listed again.
  kLeaving,      ///< The server announced that it is leaving.
  kSaidLeaving,  ///< The server said in an answer that it is leaving.
  kReplaced,     ///< An instance of unknown service has the server's address.
  kLapsed,       ///< The server's entry disappeared without such an announcement.
  kForgotten,    ///< The server was removed and is no longer used.
  kUnreachable,  ///< The server's ingress cannot be reached and is avoided for a while.
  kReached,      ///< The server's ingress answers again.
};

/// Returns the name for log lines, such as "server_listed".
std::string_view changeName(ServerChange change);

class DecisionLog {
 public:
  virtual ~DecisionLog() = default;
  virtual void onDecision(const Decision& decision) = 0;
  virtual void onServerChange(ServerChange change, const EndpointId& server) = 0;
};

}  // namespace coursepond::proxy
