#pragma once

#include <vector>

#include "core/request_fingerprint.h"

namespace coursepond {

/// Returns the fingerprints of a request of which only the one of the whole request is known.
inline RequestFingerprints wholeRequest(RequestFingerprint whole) { return {{}, whole}; }

/// Returns the fingerprints of several such requests.
inline std::vector<RequestFingerprints> wholeRequests(
    const std::vector<RequestFingerprint>& requests) {
  std::vector<RequestFingerprints> all;
  for (const RequestFingerprint request : requests) all.push_back(wholeRequest(request));
  return all;
}

}  // namespace coursepond
