#pragma once

#include <string>

#include "core/time.h"

namespace coursepond::admin {

/// Settings of the operator API.
struct AdminSettings {
  /// Token that operators must send as `Authorization: Bearer`. Empty: every request is refused.
  std::string bearer_token;
  /// How long to wait for the answers of other zones before a status is returned without them.
  Duration gather_timeout = std::chrono::milliseconds(800);
  /// Timeout for a source reader to read the version of a plan.
  Duration fetch_timeout = std::chrono::seconds(4);
  /// Timeout for a fetched version to be staged on this node.
  Duration staging_timeout = std::chrono::seconds(4);
};

}  // namespace coursepond::admin
