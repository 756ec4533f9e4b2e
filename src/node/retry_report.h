#pragma once

/// Builds log lines about the additional load that this node's repeats put on each service: one
/// line for each service and interval with repeats or denied repeats.

#include <map>
#include <vector>

#include "proxy/retry_accounts.h"
#include "runtime/log_line.h"

namespace coursepond::node {

class RetryReport {
 public:
  /// Returns the fields of one log line for each service with changes since the last call.
  std::vector<std::vector<runtime::LogField>> next(const proxy::RetryAccounts& retries);

 private:
  std::map<ServiceName, proxy::RetryStatistics> last_reported_;
};

}  // namespace coursepond::node
