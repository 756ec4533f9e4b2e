#pragma once

/// What was decided on a request, told so that a failure can be explained afterwards.

#include <cstdint>
#include <string_view>

#include "core/ids.h"
#include "core/request_fingerprint.h"
#include "core/time.h"

namespace coursepond::proxy {

enum class DecisionKind {
  kForwarded,       ///< A server's answer was passed on.
  kAttemptEnded,    ///< An attempt brought no answer to pass on.
  kRepeatDenied,    ///< A further server is not asked, for want of allowance.
  kAnsweredItself,  ///< The request got its final answer from this node.
  kAnswerCut,       ///< A server's answer ended early on its way through.
  kCallerGone,      ///< The caller left; what still ran for it was cancelled.
};

/// "attempt_ended" and so on, for log lines.
std::string_view decisionWord(DecisionKind kind);

/// The two sides of a node, as decisions name them.
inline constexpr std::string_view kEgressSide = "egress";
inline constexpr std::string_view kIngressSide = "ingress";

/// What a decision was made from. An egress knows the ages, an ingress its load.
struct DecisionInputs {
  Duration configuration_age{};  ///< Since the version came into force here.
  Duration entry_age{};          ///< Since the server's entry last changed here.
  std::uint32_t running = 0;     ///< Requests at the server.
  std::uint32_t waiting = 0;     ///< Requests that wait for a slot.
  Duration queued{};             ///< How long this one was here before its server had it.
};

/// One decision; the views last for the call.
struct Decision {
  DecisionKind kind = DecisionKind::kForwarded;
  std::string_view side;           ///< kEgressSide or kIngressSide.
  std::string_view request;        ///< Its id.
  RequestFingerprint fingerprint;  ///< Equal for requests that servers cannot tell apart.
  std::string_view service;        ///< Empty while no route is found.
  std::uint32_t attempt = 0;
  std::string_view server;  ///< Of the attempt; empty when there was none.
  std::string_view reason;  ///< A stable word; empty for kForwarded.
  int status = 0;           ///< As told to the caller; zero for kAttemptEnded.
  Duration elapsed{};       ///< Since the request began here.
  Version version;          ///< Of the configuration it is served under.
  DecisionInputs inputs;
};

/// What this node holds of a server changed.
enum class ServerChange {
  kListed,       ///< New, or back.
  kLeaving,      ///< It says that it is leaving.
  kLapsed,       ///< Its entry went without that.
  kForgotten,    ///< It is used no more.
  kUnreachable,  ///< Its ingress cannot be reached: avoided for a while.
  kReached,      ///< Its ingress answers again.
};

/// "server_listed" and so on, for log lines.
std::string_view changeWord(ServerChange change);

class DecisionLog {
 public:
  virtual ~DecisionLog() = default;
  virtual void onDecision(const Decision& decision) = 0;
  virtual void onServerChange(ServerChange change, const EndpointId& server) = 0;
};

}  // namespace coursepond::proxy
