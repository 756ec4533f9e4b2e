#pragma once

/// Typed representation of the operator API's answers. See
/// docs/operators/PLANNING-AND-CONFIRMING.md.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/ids.h"

namespace coursepond::cli {

/// Names of the items of one kind that a plan adds, changes and removes.
struct ChangeDocument {
  std::vector<std::string> added;
  std::vector<std::string> changed;
  std::vector<std::string> removed;
};

struct VersionCount {
  Version version;
  std::uint64_t proxies = 0;
};

struct PlanZone {
  ZoneId zone;
  bool answered = false;
  std::uint64_t nodes = 0;
  std::uint64_t proxies_to_change = 0;
  std::uint64_t routes_affected = 0;
  std::vector<VersionCount> from_versions;
};

struct PlanDocument {
  PlanId id;
  std::string status;  ///< "open", "accepted", "superseded" or "outdated".
  Version version;
  Version base;
  Version accepted;
  bool valid = false;
  bool platform_reached = true;
  ChangeDocument routes;
  ChangeDocument services;
  ChangeDocument secrets;
  std::vector<PlanZone> zones;
  std::vector<std::string> zones_missing;
  std::uint64_t bytes_per_node_staged = 0;
  std::uint64_t bytes_per_node_confirmed = 0;
  std::uint64_t bytes_total = 0;
};

struct StatusZone {
  ZoneId zone;
  bool reachable = false;
  bool answered = false;
  std::uint64_t nodes = 0;
  std::uint64_t current = 0;  ///< Proxies with the accepted version in force.
  std::uint64_t behind = 0;
  std::vector<VersionCount> versions;
  std::vector<std::string> errors;
};

struct StatusDocument {
  NodeId node;
  ZoneId zone;
  bool ready = false;
  Version accepted;  ///< Newest accepted version known to any proxy.
  Version in_force;
  Version staged;
  bool converged = false;
  std::vector<StatusZone> zones;
};

struct ProxyDocument {
  NodeId node;
  ZoneId zone;
  Version in_force;
  Version accepted;
  Version staged;
  std::string last_error;
};

struct ProxiesDocument {
  std::vector<ProxyDocument> proxies;
  std::vector<std::string> zones_missing;
};

/// A mistake in a document that could not be planned.
struct MistakeDocument {
  std::string path;
  std::string message;
  std::string remedy;
};

/// These return kMalformed if the text is not such an answer.
Result<PlanDocument> parsePlan(std::string_view json);
Result<StatusDocument> parseStatus(std::string_view json);
Result<ProxiesDocument> parseProxies(std::string_view json);

/// Returns the mistakes listed in a refusal to plan; may be empty.
std::vector<MistakeDocument> parseMistakes(std::string_view json);

/// Returns the JSON text with indentation.
std::string prettyJson(std::string_view json);

}  // namespace coursepond::cli
