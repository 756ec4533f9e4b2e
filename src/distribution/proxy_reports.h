#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "distribution/messages.h"

namespace coursepond::distribution {

/// The versions one proxy holds, collected for GET /v1/status and /v1/proxies.
struct ProxyState {
  NodeId node;
  ZoneId zone;
  Version in_force;
  Version accepted;
  Version staged;
  std::string last_error;  ///< Empty if there is none.
  friend bool operator==(const ProxyState&, const ProxyState&) = default;
};

/// The states of the proxies of a zone, as reported to this node by their summaries.
class ProxyReports {
 public:
  explicit ProxyReports(Duration expiry) : expiry_(expiry) {}

  void onSummary(const NodeId& node, const ZoneId& zone, const Summary& summary, TimePoint now);
  /// Returns the states reported within the expiry time, ordered by node id.
  std::vector<ProxyState> current(TimePoint now) const;
  void forgetExpired(TimePoint now);

 private:
  struct Report {
    ProxyState state;
    TimePoint at;
  };

  Duration expiry_;
  std::map<NodeId, Report> reports_;
};

}  // namespace coursepond::distribution
