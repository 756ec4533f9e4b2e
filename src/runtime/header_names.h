#pragma once

/// Names of the headers that have a meaning on the data path. A mesh whose servers and callers use
/// other names configures them; see docs/operators/SETTINGS.md, [headers].

#include <string>

#include "core/http_headers.h"

namespace coursepond::runtime {

struct HeaderNames {
  std::string request_id = http_headers::kRequestId;
  std::string deadline = http_headers::kDeadlineMs;
  std::string load = http_headers::kLoad;
  /// In a server's answer: "1" while it is leaving.
  std::string draining = http_headers::kDraining;
  /// In a server's answer: the requests per second that it accepts from all nodes together.
  std::string server_limit = http_headers::kServerLimit;
  /// In a server's answer: the request was not run.
  std::string not_run = http_headers::kNotRun;
  /// In a server's answer: proves that the server produced it. Empty: servers do not sign answers.
  std::string signature;
  /// To a server: the only instance that may run the request.
  std::string target_instance = http_headers::kTargetInstance;
  /// To a server: the service of the machine on which the request originated.
  std::string caller_service = http_headers::kCallerService;
  /// From a caller: the API key of its tenant.
  std::string api_key = http_headers::kApiKey;
  /// To a server: the tenant on whose behalf the request is made.
  std::string tenant = http_headers::kTenant;
  /// In a server's answer: its own instance.
  std::string instance = http_headers::kInstance;
  /// In a server's answer to a health probe: number of milliseconds until it is warm. Absent: it is
  /// warm.
  std::string cold_left = http_headers::kColdLeftMs;
};

}  // namespace coursepond::runtime
