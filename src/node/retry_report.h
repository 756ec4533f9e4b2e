#pragma once

/// Log lines on what this node added to the arrivals at each service: one per service and interval
/// in which it repeated something or was denied to.

#include <map>
#include <vector>

#include "proxy/retry_accounts.h"
#include "runtime/log_line.h"

namespace coursepond::node {

class RetryReport {
 public:
  /// The fields of one line for each service with something to tell since the last call.
  std::vector<std::vector<runtime::LogField>> next(const proxy::RetryAccounts& retries);

 private:
  std::map<ServiceName, proxy::RetryStatistics> told_;
};

}  // namespace coursepond::node
