#pragma once

/// What was decided on a request, told so that a failure can be explained afterwards.

#include <cstdint>
#include <string_view>

#include "core/ids.h"
#include "core/time.h"

namespace coursepond::proxy {

enum class DecisionKind {
  kForwarded,       ///< A server's answer was passed on.
  kAttemptEnded,    ///< An attempt brought no answer to pass on.
  kAnsweredItself,  ///< The request got its final answer from this node.
};

/// One decision; the views last for the call.
struct Decision {
  DecisionKind kind = DecisionKind::kForwarded;
  std::string_view side;     ///< "egress" or "ingress".
  std::string_view request;  ///< Its id.
  std::uint32_t attempt = 0;
  std::string_view server;  ///< Of the attempt; empty when there was none.
  std::string_view reason;  ///< A stable word; empty for kForwarded.
  int status = 0;           ///< As told to the caller; zero for kAttemptEnded.
  Duration elapsed{};       ///< Since the request began here.
  Version version;          ///< Of the configuration it is served under.
};

class DecisionLog {
 public:
  virtual ~DecisionLog() = default;
  virtual void onDecision(const Decision& decision) = 0;
};

}  // namespace coursepond::proxy
