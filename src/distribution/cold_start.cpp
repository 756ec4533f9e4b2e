#include "distribution/cold_start.h"

#include <algorithm>

namespace coursepond::distribution {
namespace {

/// Number of answers required from the node's own zone; in a smaller zone, all other members.
constexpr std::size_t kOwnZoneAnswers = 3;

}  // namespace

ColdStart::ColdStart(const Settings& settings, const Peers& peers, TimePoint now)
    : settings_(settings), peers_(peers), waiting_since_(now) {}

void ColdStart::onAnswer(const NodeId& from, bool witness, TimePoint now) {
  if (settled_) return;
  answered_.insert(from);
  if (witness) onRecord(now);
}

void ColdStart::onRecord(TimePoint now) {
  if (!record_learned_at_) record_learned_at_ = now;
}

void ColdStart::onPause(TimePoint now) {
  if (settled_) return;
  waiting_since_ = now;
  answered_.clear();
  if (record_learned_at_) record_learned_at_ = now;
}

bool ColdStart::settled(TimePoint now) {
  if (settled_ || !record_learned_at_) return settled_;
  settled_ = hasEnoughAnswers() || now - *record_learned_at_ >= settings_.cold_settle_limit;
  if (settled_) answered_.clear();
  return settled_;
}

bool ColdStart::adoptionDue(TimePoint now) const {
  if (settled_ || record_learned_at_ || !everyReachableZoneAnswered()) return false;
  const Duration wait =
      everyZoneReachable() ? settings_.adoption_wait : settings_.adoption_wait_cut_off;
  return now - waiting_since_ >= wait;
}

bool ColdStart::hasEnoughAnswers() const {
  const std::size_t own_zone_needed = std::min(kOwnZoneAnswers, peers_.otherLocalMemberCount());
  return answerCount(peers_.view().own_zone) >= own_zone_needed && everyReachableZoneAnswered();
}

bool ColdStart::everyReachableZoneAnswered() const {
  for (const auto& [id, zone] : peers_.view().zones) {
    const bool own = id == peers_.view().own_zone;
    const bool has_others = own ? peers_.otherLocalMemberCount() > 0 : !zone.members.empty();
    if ((own || zone.reachable) && has_others && answerCount(id) == 0) return false;
  }
  return true;
}

bool ColdStart::everyZoneReachable() const {
  const auto& zones = peers_.view().zones;
  const bool all_known = std::all_of(settings_.zones.begin(), settings_.zones.end(),
                                     [&zones](const ZoneId& zone) { return zones.contains(zone); });
  return all_known && std::all_of(zones.begin(), zones.end(), [this](const auto& entry) {
           return entry.first == peers_.view().own_zone || entry.second.reachable;
         });
}

std::size_t ColdStart::answerCount(const ZoneId& zone) const {
  return static_cast<std::size_t>(
      std::count_if(answered_.begin(), answered_.end(),
                    [&](const NodeId& node) { return peers_.zoneOf(node) == zone; }));
}

}  // namespace coursepond::distribution
