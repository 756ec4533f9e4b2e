#include "admin/plan.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include "distribution/acceptance_messages.h"
#include "distribution/compression.h"

namespace coursepond::admin {
namespace {

using distribution::AcceptanceRecord;

constexpr std::string_view kPrefix = "plan-";
constexpr std::array<std::string_view, 4> kStatusNames = {"open", "accepted", "superseded",
                                                          "outdated"};
/// Estimated size of one acceptance record on the wire, in bytes, including framing.
constexpr std::uint64_t kRecordBytes = 60;

Error noSuchPlan(const std::string& text) {
  return Error{ErrorKind::kNotFound, "'" + text.substr(0, 120) + "' is not the id of a plan",
               "use the id that POST /v1/plans returned"};
}

/// Removes the decimal number before the next '-' from `text` and returns it, or nothing if there
/// is none.
std::optional<std::uint64_t> takeNumber(std::string_view& text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const auto length = static_cast<std::size_t>(end - text.data());
  if (error != std::errc() || length >= text.size() || text[length] != '-') {
    return std::nullopt;
  }
  text.remove_prefix(length + 1);
  return number;
}

bool isInZone(const model::Route& route, const ZoneId& zone) {
  return route.zones.empty() ||
         std::find(route.zones.begin(), route.zones.end(), zone) != route.zones.end();
}

bool isInZone(const model::Configuration& configuration, const RouteName& name,
              const ZoneId& zone) {
  const auto found = configuration.routes.find(name);
  return found != configuration.routes.end() && isInZone(found->second, zone);
}

std::size_t routesAffected(const model::Configuration& base, const model::Configuration& target,
                           const model::NameChanges<RouteName>& routes, const ZoneId& zone) {
  std::size_t count = 0;
  for (const auto* names : {&routes.added, &routes.changed, &routes.removed}) {
    count += static_cast<std::size_t>(
        std::count_if(names->begin(), names->end(), [&](const RouteName& name) {
          return isInZone(base, name, zone) || isInZone(target, name, zone);
        }));
  }
  return count;
}

ZoneEffect effectOnZone(const membership::ZoneView& zone, const ProxyCensus& census,
                        Version target) {
  ZoneEffect effect;
  effect.zone = zone.zone;
  effect.nodes = zone.node_count;
  effect.answered = census.answered.contains(zone.zone);
  for (const distribution::ProxyState& proxy : census.proxies) {
    if (proxy.zone == zone.zone && proxy.in_force < target) {
      ++effect.proxies_to_change;
      ++effect.from_versions[proxy.in_force];
    }
  }
  return effect;
}

ByteEstimate estimateBytes(const model::Configuration& base, const model::Configuration& target,
                           std::size_t nodes) {
  const model::Delta delta = model::makeDelta(base, target);
  ByteEstimate estimate;
  estimate.delta_per_node = distribution::compressText(model::deltaToText(delta)).size();
  estimate.record_per_node = kRecordBytes;
  estimate.total = nodes * (estimate.delta_per_node + estimate.record_per_node);
  return estimate;
}

}  // namespace

PlanId planIdOf(const AcceptanceRecord& proposed) {
  return PlanId(std::string(kPrefix) + std::to_string(proposed.version.value()) + "-" +
                std::to_string(proposed.base.value()) + "-" + proposed.digest.toHex());
}

Result<AcceptanceRecord> parsePlanId(const std::string& text) {
  std::string_view rest = text;
  if (!rest.starts_with(kPrefix)) {
    return noSuchPlan(text);
  }
  rest.remove_prefix(kPrefix.size());
  const auto version = takeNumber(rest);
  const auto base = version.has_value() ? takeNumber(rest) : std::nullopt;
  const auto digest = Digest::fromHex(rest);
  if (!base.has_value() || digest.has_error()) {
    return noSuchPlan(text);
  }
  const AcceptanceRecord record{Version(*version), *digest, Version(*base)};
  if (record.version <= record.base || planIdOf(record).value() != text) {
    return noSuchPlan(text);
  }
  return record;
}

std::string_view statusName(PlanStatus status) {
  return kStatusNames[static_cast<std::size_t>(status)];
}

PlanStatus statusOf(const AcceptanceRecord& proposed, const AcceptanceRecord& accepted) {
  if (accepted == proposed) {
    return PlanStatus::kAccepted;
  }
  if (accepted.version >= proposed.version) {
    return PlanStatus::kSuperseded;
  }
  return accepted.version > proposed.base ? PlanStatus::kOutdated : PlanStatus::kOpen;
}

PlanEffect effectOf(const model::Configuration& base, const model::Configuration& target,
                    const membership::View& view, const ProxyCensus& census) {
  PlanEffect effect;
  effect.diff = model::diff(base, target);
  for (const auto& [id, zone] : view.zones) {
    ZoneEffect zone_effect = effectOnZone(zone, census, target.version);
    zone_effect.routes_affected = routesAffected(base, target, effect.diff.routes, id);
    effect.zones.push_back(std::move(zone_effect));
  }
  effect.bytes = estimateBytes(base, target, view.nodeCount());
  return effect;
}

}  // namespace coursepond::admin
