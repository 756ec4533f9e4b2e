#pragma once

/// Interface to the platform's read-only service. runtime::HttpPlatformClient connects to the real
/// service; the simulator has an implementation of its own.
///
/// Published protocol (HTTP/1.1, GET only, JSON, `ETag`/`If-None-Match` on each):
///   /v1/configurations            {"newest": 7}
///   /v1/configurations/{version}  a configuration document (model/document.h); 404 when unknown
///   /v1/machines                  {"generation": 12,
///                                  "nodes":    [{"id","zone","address","state":"live"|"leaving"}],
///                                  "backends": [{"id","service","zone","address","state"}]}

#include <functional>
#include <optional>
#include <string>

#include "core/error.h"
#include "core/ids.h"

namespace coursepond::source {

/// The result of a conditional read: not modified, or a body with its entity tag.
struct PlatformAnswer {
  bool not_modified = false;
  std::string entity_tag;
  std::string body;
};

using PlatformCallback = std::function<void(Result<PlatformAnswer>)>;

/// Each call makes one request and calls back exactly once, never from inside the call.
class PlatformClient {
 public:
  virtual ~PlatformClient() = default;
  /// An empty `entity_tag` makes the read unconditional.
  virtual void readNewest(const std::string& entity_tag, PlatformCallback callback) = 0;
  virtual void readConfiguration(Version version, PlatformCallback callback) = 0;
  virtual void readMachines(const std::string& entity_tag, PlatformCallback callback) = 0;
};

}  // namespace coursepond::source
