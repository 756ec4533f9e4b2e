#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "model/configuration.h"
#include "proxy/request_flow.h"

namespace coursepond::proxy {

/// Finds the route of a request. Of all routes that match completely, it is the first in this
/// order:
///   1. a route for a specific host before one for any host;
///   2. the longer path prefix;
///   3. a route for specific methods before one for any method;
///   4. the one with more header conditions;
///   5. by name.
/// A lookup is linear in the number of slashes in the path, up to the length of the longest prefix,
/// and does not depend on the number of routes with different prefixes.
class RouteTable {
 public:
  /// `routes` must outlive the table.
  explicit RouteTable(const std::vector<model::Route>& routes);

  /// Returns the index of the route in the vector passed to the constructor.
  std::optional<std::size_t> find(const RequestHead& head) const;

 private:
  /// The keys are views of strings in `routes_`.
  template <typename Value>
  using TextMap = std::unordered_map<std::string_view, Value>;

  struct HostRoutes {
    /// Only the keys of PrefixMatch::kText end with a slash; "" is the root for kSegments.
    TextMap<std::vector<std::size_t>> by_prefix;
    std::size_t longest_prefix = 0;
    bool has_text = false;      ///< Has a key of PrefixMatch::kText.
    bool has_segments = false;  ///< Has a key of PrefixMatch::kSegments.
  };

  std::optional<std::size_t> findInHost(std::string_view host, const RequestHead& head) const;
  /// `prefix` is the beginning of the path up to a slash, with the slash or without.
  std::optional<std::size_t> findInPrefix(const HostRoutes& host_routes, std::string_view prefix,
                                          const RequestHead& head) const;

  const std::vector<model::Route>& routes_;
  TextMap<HostRoutes> by_host_;  ///< The key "" has the routes for any host.
};

}  // namespace coursepond::proxy
