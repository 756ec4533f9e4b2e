#include "membership/zone_directory.h"

#include <algorithm>
#include <tuple>

#include "membership/rank.h"

namespace coursepond::membership {
namespace {

/// Minimum time for which reports of nodes that are not gateways are kept, because they may still
/// be spreading through the zone.
constexpr Duration kOutdatedReportRetention = std::chrono::minutes(1);

bool isNewer(const ZoneReport& left, const ZoneReport& right) {
  return std::tie(left.reporter_incarnation, left.sequence) >
         std::tie(right.reporter_incarnation, right.sequence);
}

std::uint64_t reportHash(const ZoneReport& report) {
  const std::uint64_t names =
      stableHash(report.summary.zone.value()) ^ mixBits(stableHash(report.reporter.value()));
  return mixBits(names ^ mixBits(report.reporter_incarnation.value()) ^ mixBits(report.sequence));
}

}  // namespace

TableDigest zoneSummaryDigest(const ZoneSummary& summary) {
  std::uint64_t hash = mixBits(stableHash(summary.zone.value()) ^ summary.node_count);
  for (const Member& contact : summary.contacts) {
    hash = mixBits(hash ^ stableHash(contact.id.value()));
    hash = mixBits(hash ^ stableHash(formatAddress(contact.peer_address)) ^ contact.leaving);
  }
  const auto digest = static_cast<TableDigest>(hash);
  return digest == 0 ? 1 : digest;
}

bool ZoneDirectory::merge(const ZoneReport& report, TimePoint now) {
  if (report.summary.zone == table_.self().zone) {
    return false;
  }
  Zone& zone = findOrAddZone(report.summary.zone, now);
  const auto found = zone.reports.find(report.reporter);
  if (found != zone.reports.end() && !isNewer(report, found->second.report)) {
    return false;
  }
  zone.reports[report.reporter] = ReportEntry{report, now};
  zone.reachable = isReachable(zone, now);
  ++version_;
  return true;
}

void ZoneDirectory::setConfigured(const std::set<ZoneId>& zones, TimePoint now) {
  for (const ZoneId& id : zones) {
    if (id != table_.self().zone) {
      findOrAddZone(id, now).configured = true;
    }
  }
}

void ZoneDirectory::setListed(const std::set<ZoneId>& listed, TimePoint now) {
  for (auto& [id, zone] : zones_) {
    zone.listed = listed.contains(id);
  }
  for (const ZoneId& id : listed) {
    if (id != table_.self().zone) {
      findOrAddZone(id, now).listed = true;
    }
  }
}

void ZoneDirectory::refresh(TimePoint now) {
  for (auto& [id, zone] : zones_) {
    const bool reachable = isReachable(zone, now);
    if (reachable) {
      zone.last_reachable = now;
    }
    if (reachable != zone.reachable) {
      zone.reachable = reachable;
      ++version_;
    }
  }
}

void ZoneDirectory::forget(TimePoint now) {
  for (auto& [id, zone] : zones_) {
    dropOutdated(id, zone, now);
  }
  const std::size_t forgotten = std::erase_if(zones_, [&](const auto& item) {
    const bool wanted = item.second.listed || item.second.configured;
    return !wanted && now - item.second.last_reachable > settings_.zone_forget_after;
  });
  version_ += forgotten;
}

std::vector<ZoneId> ZoneDirectory::zones() const {
  std::vector<ZoneId> ids;
  for (const auto& [id, zone] : zones_) {
    ids.push_back(id);
  }
  return ids;
}

const ZoneSummary* ZoneDirectory::summaryOf(const ZoneId& zone) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) {
    return nullptr;
  }
  // Preference, in this order: a report with contacts, one of a live reporter that reaches the
  // zone, one that says the zone is reachable, one of a gateway (it probed the zone most recently),
  // one of a live reporter, the newest. Nodes with the same reports make the same choice.
  const auto quality = [&](const ZoneReport& report) {
    const bool live = table_.isLive(report.reporter);
    return std::make_tuple(!report.summary.contacts.empty(), live && report.reachable,
                           report.reachable, isGateway(report.reporter, zone), live,
                           report.reporter_incarnation, report.sequence);
  };
  const ZoneReport* best = nullptr;
  for (const auto& [reporter, entry] : found->second.reports) {
    if (best == nullptr || quality(entry.report) > quality(*best)) {
      best = &entry.report;
    }
  }
  return best == nullptr ? nullptr : &best->summary;
}

bool ZoneDirectory::isReachable(const ZoneId& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.reachable;
}

std::size_t ZoneDirectory::otherReachableReports(const ZoneId& zone) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) {
    return 0;
  }
  const auto& reports = found->second.reports;
  return static_cast<std::size_t>(
      std::count_if(reports.begin(), reports.end(), [&](const auto& entry) {
        return entry.first != table_.self().id && entry.second.report.reachable &&
               table_.isLive(entry.first);
      }));
}

const ZoneReport* ZoneDirectory::ownReport(const ZoneId& zone) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) {
    return nullptr;
  }
  const auto own = found->second.reports.find(table_.self().id);
  return own == found->second.reports.end() ? nullptr : &own->second.report;
}

std::map<ZoneId, ZoneView> ZoneDirectory::views() const {
  std::map<ZoneId, ZoneView> views;
  for (const auto& [id, zone] : zones_) {
    ZoneView view;
    view.zone = id;
    view.reachable = zone.reachable;
    if (const ZoneSummary* summary = summaryOf(id)) {
      view.members = summary->contacts;
      view.node_count = summary->node_count;
    }
    views.emplace(id, std::move(view));
  }
  return views;
}

std::vector<ZoneReport> ZoneDirectory::reports() const {
  std::vector<ZoneReport> all;
  for (const auto& [id, zone] : zones_) {
    for (const ZoneReport* report : effectiveReports(id, zone)) {
      all.push_back(*report);
    }
  }
  return all;
}

TableDigest ZoneDirectory::digest() const {
  std::uint64_t sum = 0;
  for (const auto& [id, zone] : zones_) {
    for (const ZoneReport* report : effectiveReports(id, zone)) {
      sum += reportHash(*report);
    }
  }
  return static_cast<TableDigest>(mixBits(sum));
}

bool ZoneDirectory::isGateway(const NodeId& node, const ZoneId& zone) const {
  return table_.isBestFor(stableHash(zone.value()), settings_.gateways_per_zone, node);
}

bool ZoneDirectory::hasGatewayReport(const ZoneId& id, const Zone& zone) const {
  return std::any_of(zone.reports.begin(), zone.reports.end(),
                     [&](const auto& entry) { return isGateway(entry.first, id); });
}

std::vector<const ZoneReport*> ZoneDirectory::effectiveReports(const ZoneId& id,
                                                               const Zone& zone) const {
  const bool gateways_only = hasGatewayReport(id, zone);
  std::vector<const ZoneReport*> effective;
  for (const auto& [reporter, entry] : zone.reports) {
    if (gateways_only ? isGateway(reporter, id) : table_.isLive(reporter)) {
      effective.push_back(&entry.report);
    }
  }
  return effective;
}

bool ZoneDirectory::provesReachable(const ZoneReport& report, TimePoint now) const {
  if (!report.reachable) {
    return false;
  }
  if (table_.isLive(report.reporter)) {
    return true;
  }
  // The report of a dead reporter stays valid for a while, until a successor has probed the zone.
  const std::optional<TimePoint> died = table_.changedAt(report.reporter);
  return died && now - *died < settings_.reachability_timeout;
}

bool ZoneDirectory::isReachable(const Zone& zone, TimePoint now) const {
  return std::any_of(zone.reports.begin(), zone.reports.end(),
                     [&](const auto& entry) { return provesReachable(entry.second.report, now); });
}

void ZoneDirectory::dropOutdated(const ZoneId& id, Zone& zone, TimePoint now) {
  const bool superseded = hasGatewayReport(id, zone);
  const std::size_t dropped = std::erase_if(zone.reports, [&](const auto& entry) {
    const bool old = now - entry.second.received > kOutdatedReportRetention;
    const bool own = entry.first == table_.self().id;
    return superseded && old && !own && !isGateway(entry.first, id) &&
           !entry.second.report.reachable;
  });
  const std::size_t gone = std::erase_if(zone.reports, [&](const auto& entry) {
    // The last report is kept even if its reporter is gone: it holds the zone's known contacts.
    return zone.reports.size() > 1 && superseded && table_.find(entry.first) == nullptr;
  });
  version_ += dropped + gone;
}

ZoneDirectory::Zone& ZoneDirectory::findOrAddZone(const ZoneId& zone, TimePoint now) {
  const auto [found, added] = zones_.try_emplace(zone);
  if (added) {
    found->second.last_reachable = now;
    ++version_;
  }
  return found->second;
}

}  // namespace coursepond::membership
