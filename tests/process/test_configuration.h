#pragma once

/// Test configurations in which every part depends on the version, so that a caller can detect a
/// partially applied configuration: in version V the routes lead to the service for the parity of V
/// and send the secret of V.

#include <string>

#include "core/ids.h"
#include "runtime/http_message.h"

namespace coursepond::process_tests {

/// Path prefix of the requests that must not be repeated.
inline constexpr char kOncePath[] = "/once";
/// Target whose answer echoes the header that the route sets from its secret.
inline constexpr char kWitnessTarget[] = "/witness?echo=X-Key&size=16";

/// Service names for even and for odd versions.
inline constexpr char kEvenService[] = "even";
inline constexpr char kOddService[] = "odd";

/// Returns the configuration document of that version.
std::string testDocument(Version version);

/// Returns whether the service and the secret in an answer to kWitnessTarget belong to the version
/// that the answer names. Returns true for refusals.
bool matchesItsVersion(const runtime::HttpClientResponse& response);

/// Returns the version that an answer names, or zero if it names none.
Version versionOf(const runtime::HttpClientResponse& response);

}  // namespace coursepond::process_tests
