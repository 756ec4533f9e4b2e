#include "distribution/proxy_reports.h"

namespace coursepond::distribution {

void ProxyReports::onSummary(const NodeId& node, const ZoneId& zone, const Summary& summary,
                             TimePoint now) {
  reports_[node] = Report{ProxyState{node, zone, summary.in_force, summary.accepted, summary.staged,
                                     summary.last_error},
                          now};
}

std::vector<ProxyState> ProxyReports::current(TimePoint now) const {
  std::vector<ProxyState> states;
  for (const auto& [node, report] : reports_) {
    if (now - report.at <= expiry_) states.push_back(report.state);
  }
  return states;
}

void ProxyReports::forgetExpired(TimePoint now) {
  std::erase_if(reports_, [&](const auto& entry) { return now - entry.second.at > expiry_; });
}

}  // namespace coursepond::distribution
