#pragma once

/// The operator API of any node, independent of the HTTP server. Requests and answers are plain
/// values.
/// See docs/operators/PLANNING-AND-CONFIRMING.md.

#include <functional>
#include <optional>
#include <string>

#include "core/time.h"

namespace coursepond::admin {

/// One HTTP request to the operator API.
struct AdminRequest {
  std::string method;  ///< Upper case.
  std::string path;    ///< Without the query string.
  std::string bearer_token;
  std::string body;
};

struct AdminResponse {
  int status = 0;
  std::string json_body;  ///< Never contains the value of a secret.
  std::optional<Duration> retry_after;
};

using AdminCallback = std::function<void(AdminResponse)>;

class AdminApi {
 public:
  virtual ~AdminApi() = default;
  /// Calls `callback` exactly once, within the timeouts of the settings, possibly before returning.
  virtual void handle(const AdminRequest& request, AdminCallback callback) = 0;
};

}  // namespace coursepond::admin
