#include "membership/zone_gateway.h"

#include <algorithm>
#include <set>
#include <utility>

#include "membership/rank.h"

namespace coursepond::membership {
namespace {

/// Ignores incarnations: a refuted suspicion in a contact's own zone is irrelevant to other zones,
/// and a report about it would be sent to every node of every zone.
bool sameContacts(const ZoneSummary& left, const ZoneSummary& right) {
  return std::equal(left.contacts.begin(), left.contacts.end(), right.contacts.begin(),
                    right.contacts.end(), [](const Member& one, const Member& other) {
                      return one.id == other.id && one.peer_address == other.peer_address &&
                             one.leaving == other.leaving;
                    });
}

bool shareContact(const ZoneSummary& left, const ZoneSummary& right) {
  return std::any_of(left.contacts.begin(), left.contacts.end(), [&](const Member& contact) {
    return std::any_of(right.contacts.begin(), right.contacts.end(),
                       [&](const Member& other) { return other.id == contact.id; });
  });
}

}  // namespace

ZoneGateway::ZoneGateway(const MemberTable& table, ZoneDirectory& directory, SeedBook& seeds,
                         const Settings& settings, Environment& environment,
                         MessageSender<Message>& sender, Publish publish)
    : table_(table),
      directory_(directory),
      seeds_(seeds),
      settings_(settings),
      environment_(environment),
      sender_(sender),
      publish_(std::move(publish)) {}

void ZoneGateway::onTick(const ZoneSummary& own) {
  for (const ZoneId& zone : directory_.zones()) {
    if (!isResponsibleFor(zone)) {
      withdrawReport(zone);
      links_.erase(zone);
      continue;
    }
    const auto [found, added] = links_.try_emplace(zone);
    Link& link = found->second;
    if (added) {
      link.created = environment_.now();
    }
    probeWhenDue(zone, link, own);
    reportWhenDue(zone, link);
  }
}

void ZoneGateway::onProbe(const NodeId& from, const ZoneProbe& probe, const ZoneSummary& own) {
  ZoneAnswer answer{probe.sequence, own.zone, std::nullopt, {}};
  if (probe.known_digest != zoneSummaryDigest(own)) {
    answer.summary = own;
  }
  if (probe.introduction) {
    answer.others = zonesToIntroduce(*probe.introduction, probe.known_digest == 0);
    recordSummary(*probe.introduction);
  }
  sender_.send(from, answer);
}

std::vector<ZoneSummary> ZoneGateway::zonesToIntroduce(const ZoneSummary& introduced,
                                                       bool prober_is_new) const {
  std::vector<ZoneSummary> named;
  for (const ZoneId& zone : directory_.zones()) {
    const ZoneSummary* summary = directory_.summaryOf(zone);
    // A prober that already knows this zone also knows the other zones. Its own zone is sent
    // anyway, because the prober may be in one part of a split zone.
    const bool other_part = zone == introduced.zone;
    if (summary != nullptr && (prober_is_new || other_part)) {
      named.push_back(*summary);
    }
  }
  return named;
}

bool ZoneGateway::onAnswer(const ZoneAnswer& answer) {
  for (const ZoneSummary& other : answer.others) {
    recordSummary(other);
  }
  const auto found = links_.find(answer.zone);
  if (found == links_.end() || found->second.sequence != answer.sequence) {
    return false;
  }
  Link& link = found->second;
  link.last_answer = environment_.now();
  link.answered = true;
  if (answer.summary && answer.summary->zone == answer.zone) {
    link.summary = answer.summary;
  }
  reportWhenDue(answer.zone, link);
  return true;
}

void ZoneGateway::onPause() {
  for (auto& [zone, link] : links_) {
    link.answered = false;             // The next probe is due after zone_probe_timeout.
    link.sequence = ++last_sequence_;  // Ignore answers to probes from before the pause.
    if (link.last_answer) {
      link.last_answer = environment_.now();
    }
  }
}

bool ZoneGateway::isGateway(const ZoneId& zone) const {
  return table_.isBestFor(stableHash(zone.value()), settings_.gateways_per_zone, table_.self().id);
}

bool ZoneGateway::isResponsibleFor(const ZoneId& zone) const {
  if (isGateway(zone)) {
    return true;
  }
  // A former gateway continues until another node reaches the zone.
  const ZoneReport* own = directory_.ownReport(zone);
  return own != nullptr && own->reachable && links_.contains(zone) &&
         directory_.otherReachableReports(zone) == 0;
}

bool ZoneGateway::hasRecentAnswer(const Link& link) const {
  return link.last_answer &&
         environment_.now() - *link.last_answer < settings_.reachability_timeout;
}

std::vector<NodeId> ZoneGateway::targetsIn(const ZoneId& zone, const Link& link) const {
  std::vector<NodeId> targets;
  for (const Member& contact : bestSummary(zone, link).contacts) {
    targets.push_back(contact.id);
  }
  if (hasRecentAnswer(link) && !targets.empty()) {
    return targets;
  }
  // All known contacts may be gone, so the seeds are tried as well.
  for (const Member& seed : seeds_.nodesOf(zone)) {
    if (std::find(targets.begin(), targets.end(), seed.id) == targets.end()) {
      targets.push_back(seed.id);
    }
  }
  return targets;
}

void ZoneGateway::probeWhenDue(const ZoneId& zone, Link& link, const ZoneSummary& own) {
  const TimePoint now = environment_.now();
  const Duration since = now - link.last_probe;
  const bool due =
      since >= (link.answered ? settings_.zone_probe_interval : settings_.zone_probe_timeout);
  const std::vector<NodeId> targets = due ? targetsIn(zone, link) : std::vector<NodeId>();
  if (targets.empty()) {
    return;
  }
  ZoneProbe probe;
  probe.sequence = ++last_sequence_;
  probe.known_digest = link.summary ? zoneSummaryDigest(*link.summary) : 0;
  if (!hasRecentAnswer(link)) {
    probe.introduction = own;
  }
  link.last_probe = now;
  link.sequence = probe.sequence;
  link.answered = false;
  sender_.send(targets[link.next_target++ % targets.size()], probe);
}

void ZoneGateway::reportWhenDue(const ZoneId& zone, Link& link) {
  const TimePoint now = environment_.now();
  const bool reachable = hasRecentAnswer(link);
  if (!reachable && !link.last_answer && now - link.created < settings_.reachability_timeout) {
    return;  // Too early to report the zone as unreachable.
  }
  const ZoneSummary summary = bestSummary(zone, link);
  const ZoneReport* last = directory_.ownReport(zone);
  const bool current_process =
      last != nullptr && isSameProcess(last->reporter_incarnation, table_.self().incarnation);
  const Duration since = now - link.last_report;
  bool due = false;
  if (last == nullptr || !current_process || last->reachable != reachable) {
    due = true;
  } else if (!sameContacts(last->summary, summary)) {
    due = since >= settings_.zone_report_interval;
  } else if (last->summary.node_count != summary.node_count) {
    due = since >= settings_.zone_count_report_interval;
  }
  if (due) {
    link.last_report = now;
    report(summary, reachable);
  }
}

void ZoneGateway::withdrawReport(const ZoneId& zone) {
  const ZoneReport* own = directory_.ownReport(zone);
  if (own != nullptr && own->reachable) {
    report(ZoneSummary(own->summary), false);
  }
}

void ZoneGateway::report(const ZoneSummary& summary, bool reachable) {
  const ZoneReport* last = directory_.ownReport(summary.zone);
  ZoneReport report;
  report.reporter = table_.self().id;
  report.reporter_incarnation = table_.self().incarnation;
  report.sequence = last == nullptr ? 1 : last->sequence + 1;
  report.reachable = reachable;
  report.summary = summary;
  publish_(report);
}

void ZoneGateway::recordSummary(const ZoneSummary& summary) {
  for (const Member& contact : summary.contacts) {
    seeds_.addReported(contact);
  }
  if (summary.zone == table_.self().zone || summary.contacts.empty()) {
    return;
  }
  const ZoneSummary* known = directory_.summaryOf(summary.zone);
  // An introduction is published only if nothing better is known, because a zone that grows from
  // one node introduces itself many times.
  const bool outdated = known == nullptr || known->contacts.empty() ||
                        (!directory_.isReachable(summary.zone) && !shareContact(*known, summary));
  if (outdated && !links_.contains(summary.zone)) {
    report(summary, false);
  }
}

ZoneSummary ZoneGateway::bestSummary(const ZoneId& zone, const Link& link) const {
  if (link.summary) {
    return *link.summary;
  }
  const ZoneSummary* known = directory_.summaryOf(zone);
  return known == nullptr ? ZoneSummary{zone, 0, {}} : *known;
}

}  // namespace coursepond::membership
