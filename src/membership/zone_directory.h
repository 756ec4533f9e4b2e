#pragma once

/// Directory of the other zones, built from the reports of this zone's gateways.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/time.h"
#include "membership/member_table.h"
#include "membership/messages.h"
#include "membership/settings.h"
#include "membership/view.h"

namespace coursepond::membership {

/// Returns a hash of a zone's summary without the contacts' incarnations. Never zero; zero stands
/// for "no summary".
TableDigest zoneSummaryDigest(const ZoneSummary& summary);

class ZoneDirectory {
 public:
  ZoneDirectory(const MemberTable& table, const Settings& settings)
      : table_(table), settings_(settings) {}

  /// Merges a report. Only the newest report of each reporter is kept. Returns true if this report
  /// is newer.
  bool merge(const ZoneReport& report, TimePoint now);

  /// Adds zones that are never removed.
  void setConfigured(const std::set<ZoneId>& zones, TimePoint now);
  /// Sets the zones that the platform's list currently names.
  void setListed(const std::set<ZoneId>& zones, TimePoint now);

  /// Recomputes which zones are reachable. This also changes with time, without new reports.
  void refresh(TimePoint now);
  /// Removes superseded reports, and zones that have been unreachable for long and are neither
  /// listed nor configured.
  void forget(TimePoint now);

  /// Returns the known other zones.
  std::vector<ZoneId> zones() const;
  /// Returns the summary in the best report about a zone: one with contacts first, then one that
  /// says the zone is reachable. Returns nullptr if there is no report.
  const ZoneSummary* summaryOf(const ZoneId& zone) const;
  /// Returns whether the zone was reachable at the last report or refresh.
  bool isReachable(const ZoneId& zone) const;
  /// Returns how many other live nodes report the zone as reachable.
  std::size_t otherReachableReports(const ZoneId& zone) const;
  /// Returns the newest report by this node, which may stem from an earlier process with its id.
  const ZoneReport* ownReport(const ZoneId& zone) const;

  /// Returns the other zones for the View.
  std::map<ZoneId, ZoneView> views() const;

  /// Incremented with every change of the reports, the known zones or their reachability.
  std::uint64_t version() const { return version_; }

  /// Returns the effective reports: for each zone those of its gateways, or those of all live nodes
  /// while no gateway has reported.
  std::vector<ZoneReport> reports() const;
  /// Returns a hash of the effective reports.
  TableDigest digest() const;

 private:
  struct ReportEntry {
    ZoneReport report;
    TimePoint received;
  };
  struct Zone {
    std::map<NodeId, ReportEntry> reports;
    TimePoint last_reachable;  ///< Or, if it never was, when the zone became known.
    bool reachable = false;
    bool listed = false;
    bool configured = false;
  };

  bool isGateway(const NodeId& node, const ZoneId& zone) const;
  bool hasGatewayReport(const ZoneId& id, const Zone& zone) const;
  std::vector<const ZoneReport*> effectiveReports(const ZoneId& id, const Zone& zone) const;
  bool provesReachable(const ZoneReport& report, TimePoint now) const;
  bool isReachable(const Zone& zone, TimePoint now) const;
  void dropOutdated(const ZoneId& id, Zone& zone, TimePoint now);
  Zone& findOrAddZone(const ZoneId& zone, TimePoint now);

  const MemberTable& table_;
  const Settings& settings_;
  std::map<ZoneId, Zone> zones_;
  std::uint64_t version_ = 0;
};

}  // namespace coursepond::membership
