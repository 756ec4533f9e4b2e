#pragma once

/// Plans describe what confirming a version would change, and in which zones.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admin/proxy_directory.h"
#include "core/ids.h"
#include "distribution/acceptance_record.h"
#include "membership/view.h"
#include "model/configuration.h"
#include "model/delta.h"

namespace coursepond::admin {

/// Returns the id of a plan. The id contains everything needed to confirm the plan (version, base
/// and digest), so that every node can show and confirm it, even if the node that made it is gone.
PlanId planIdOf(const distribution::AcceptanceRecord& proposed);

/// Parses an id. Returns kNotFound for text that planIdOf does not produce.
Result<distribution::AcceptanceRecord> parsePlanId(const std::string& text);

enum class PlanStatus {
  kOpen,        ///< Its base is the accepted version, so it can be confirmed.
  kAccepted,    ///< It was confirmed and takes effect on every node.
  kSuperseded,  ///< The same or a newer version was accepted through another plan.
  kOutdated,    ///< A version other than its base was accepted: plan again.
};

/// Returns the name of the status, such as "open".
std::string_view statusName(PlanStatus status);

/// Returns the status of a plan, given the newest known acceptance record.
PlanStatus statusOf(const distribution::AcceptanceRecord& proposed,
                    const distribution::AcceptanceRecord& accepted);

/// Effect of a plan on one zone.
struct ZoneEffect {
  ZoneId zone;
  bool answered = false;              ///< Whether its distributors sent the states of its proxies.
  std::size_t nodes = 0;              ///< Last known number of nodes.
  std::size_t proxies_to_change = 0;  ///< Number of known proxies that will change version.
  std::map<Version, std::size_t> from_versions;  ///< Proxies to change, by version in force.
  std::size_t routes_affected = 0;               ///< Number of routes of this zone that differ.
};

/// Estimated traffic of staging and confirming a version, in bytes.
struct ByteEstimate {
  std::uint64_t delta_per_node = 0;   ///< Compressed delta, sent when the version is staged.
  std::uint64_t record_per_node = 0;  ///< Acceptance record, sent when it is confirmed.
  std::uint64_t total = 0;
};

struct PlanEffect {
  model::ConfigurationDiff diff;
  std::vector<ZoneEffect> zones;
  ByteEstimate bytes;
};

/// Returns the effect of replacing `base` by `target`, given the proxies' states.
PlanEffect effectOf(const model::Configuration& base, const model::Configuration& target,
                    const membership::View& view, const ProxyCensus& census);

}  // namespace coursepond::admin
