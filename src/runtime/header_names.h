#pragma once

/// The names of the headers that the data path gives a meaning to. A mesh whose servers and
/// callers use other names sets them; see docs/operators/SETTINGS.md, [headers].

#include <string>

#include "core/http_headers.h"

namespace coursepond::runtime {

struct HeaderNames {
  std::string request_id = http_headers::kRequestId;
  std::string deadline = http_headers::kDeadlineMs;
  std::string load = http_headers::kLoad;
  /// On a server's answer: the request was not run.
  std::string not_run = http_headers::kNotRun;
  /// On a server's answer: proves that the server made it. Empty: servers sign nothing.
  std::string signature;
  /// Towards a server: the only instance that may run the request.
  std::string target_instance = http_headers::kTargetInstance;
  /// Towards a server: the service whose machine the request began on.
  std::string caller_service = http_headers::kCallerService;
  /// From a caller: the API key of its tenant.
  std::string api_key = http_headers::kApiKey;
  /// Towards a server: the tenant whose request it is.
  std::string tenant = http_headers::kTenant;
  /// On a server's answer: its own instance.
  std::string instance = http_headers::kInstance;
  /// On a server's health answer: for how many more milliseconds it is cold. Absent: it is warm.
  std::string cold_left = http_headers::kColdLeftMs;
};

}  // namespace coursepond::runtime
