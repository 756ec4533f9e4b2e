#pragma once

/// The versions that the operator writes during a soak: which routes each version has, and which
/// version was the newest at a given time.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace coursepond::soak {

/// A route. It is part of all versions from `added` (inclusive) to `removed` (exclusive).
struct Route {
  std::string name;
  std::string path_prefix;
  std::string service;
  bool is_repeatable = true;
  std::size_t added = 0;
  std::optional<std::size_t> removed;
};

/// A range of versions, numbered in the order of acknowledgement. Both ends are included.
struct VersionSpan {
  std::size_t first = 0;
  std::size_t last = 0;
};

class VersionHistory {
 public:
  explicit VersionHistory(std::vector<std::string> services);

  /// Prepares the next version. It has `added` new routes, of which at least one is a marker, and
  /// lacks the `removed` oldest bulk and marker routes. It counts as written when acknowledge() is
  /// called.
  void prepare(std::size_t added, std::size_t removed);
  /// Returns the text of the prepared version as it is written to the store.
  std::string text() const;
  void acknowledge(TimePoint now);

  std::size_t count() const { return acknowledged_at_.size(); }
  std::size_t routeCount() const { return live_.size() + base_count_; }
  TimePoint acknowledgedAt(std::size_t version) const { return acknowledged_at_.at(version); }
  /// Returns the label of a version in the store, such as "r12".
  static std::string label(std::size_t version);

  /// Returns a route of any version by its number. The first baseCount() routes are in every
  /// version.
  const Route& route(std::size_t number) const { return routes_.at(number); }
  std::size_t baseCount() const { return base_count_; }
  /// Current markers with the newest last, and the most recently removed markers.
  const std::vector<std::size_t>& markers() const { return markers_; }
  const std::vector<std::size_t>& removedMarkers() const { return removed_markers_; }

  /// Returns the newest version that was acknowledged at `when`, or nothing if there was none.
  std::optional<std::size_t> newestAt(TimePoint when) const;
  /// Returns true if any version of the span has (or lacks) the route.
  bool anyHas(VersionSpan span, const Route& route) const;
  bool anyLacks(VersionSpan span, const Route& route) const;

 private:
  std::size_t addRoute(const std::string& prefix, std::size_t version);

  std::vector<std::string> services_;
  std::vector<Route> routes_;
  std::size_t base_count_ = 0;
  std::vector<std::size_t> live_;  ///< Non-base routes of the newest version, oldest first.
  std::vector<std::size_t> markers_;
  std::vector<std::size_t> removed_markers_;
  std::vector<TimePoint> acknowledged_at_;
};

}  // namespace coursepond::soak
