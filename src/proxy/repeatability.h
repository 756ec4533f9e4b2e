#pragma once

/// Decides which requests may be sent to a server again, and after which failures.

#include <string_view>

#include "model/configuration.h"
#include "proxy/request_flow.h"

namespace coursepond::proxy {

/// Whether the server may have run a finished attempt.
enum class AttemptEffect {
  kNotRun,     ///< No byte was sent, or the server reported that it refused the request.
  kMayHaveRun  ///< Bytes were sent, and whether the server ran the request is unknown.
};

/// Returns whether a request with this route and method may run more than once.
bool mayRunTwice(model::Repeatability repeatability, std::string_view method);

/// Returns whether a failed attempt may have run. Returns kMayHaveRun if that is unknown.
AttemptEffect effectOf(AttemptFailure failure);

/// Returns whether a further attempt could succeed.
bool canBeRetried(AttemptFailure failure);

/// Returns whether the failure happened on this node and caused no load on the server. Such a
/// failure is charged neither to the retry budget nor to the request's attempts.
bool isLocalFailure(AttemptFailure failure);

}  // namespace coursepond::proxy
