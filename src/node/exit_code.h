#pragma once

namespace coursepond::node {

/// Exit status of a coursepond process; documented in docs/operators/COMMANDS.md.
enum class ExitCode {
  kOk = 0,
  kRefused = 1,         ///< Refused, or errors were found; nothing took effect.
  kUsage = 2,           ///< Invalid flags or settings; nothing was attempted.
  kUnavailable = 3,     ///< The node could not be reached, or an address could not be bound.
  kOutcomeUnknown = 4,  ///< The request may or may not have taken effect.
  kRequestsCut = 5,     ///< The node stopped before all requests in flight were answered.
  kNotConverged = 6,    ///< Accepted, but not in force on all nodes before the timeout.
};

}  // namespace coursepond::node
