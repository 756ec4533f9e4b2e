#include "version_book.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace coursepond::soak {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kBaseRoutesPerService = 2;
/// Version labels on the platform increase by uneven steps. Any odd factor tests this.
constexpr std::size_t kVersionStep = 3;
/// Number of the most recently removed markers to which clients still send requests.
constexpr std::size_t kRemovedMarkersKept = 5;
constexpr int kMaxAttempts = 3;

Json resource(const char* kind, const std::string& name, Json spec) {
  return {{"entry_type", kind}, {"metadata", {{"name", name}}}, {"spec", std::move(spec)}};
}

Json routeResource(const Route& route) {
  return resource("routes", route.name,
                  {{"host", "soak.example"},
                   {"path_prefix", route.path_prefix},
                   {"type", route.is_repeatable ? "safe" : "unsafe"},
                   {"timeout", "3s"},
                   {"target_latency", "800ms"},
                   {"priority", 0},
                   {"max_attempts", kMaxAttempts},
                   {"service", route.service}});
}

}  // namespace

VersionHistory::VersionHistory(std::vector<std::string> services) : services_(std::move(services)) {
  for (const std::string& service : services_) {
    for (std::size_t turn = 0; turn < kBaseRoutesPerService; ++turn) {
      Route route;
      route.is_repeatable = turn == 0;
      route.name = service + (route.is_repeatable ? "-read" : "-write");
      route.path_prefix = "/" + route.name + "/";
      route.service = service;
      routes_.push_back(route);
    }
  }
  base_count_ = routes_.size();
}

std::string VersionHistory::label(std::size_t version) {
  return "r" + std::to_string((version + 1) * kVersionStep);
}

std::size_t VersionHistory::addRoute(const std::string& prefix, std::size_t version) {
  Route route;
  route.name = prefix + std::to_string(routes_.size());
  route.path_prefix = "/" + route.name + "/";
  route.service = services_[routes_.size() % services_.size()];
  route.added = version;
  routes_.push_back(route);
  live_.push_back(routes_.size() - 1);
  return routes_.size() - 1;
}

void VersionHistory::prepare(std::size_t added, std::size_t removed) {
  const std::size_t version = count();
  const std::size_t gone = std::min(removed, live_.size());
  for (std::size_t index = 0; index < gone; ++index) {
    routes_[live_[index]].removed = version;
    const auto marker = std::find(markers_.begin(), markers_.end(), live_[index]);
    if (marker == markers_.end()) continue;
    removed_markers_.push_back(*marker);
    markers_.erase(marker);
  }
  live_.erase(live_.begin(), live_.begin() + static_cast<std::ptrdiff_t>(gone));
  if (removed_markers_.size() > kRemovedMarkersKept) {
    removed_markers_.erase(removed_markers_.begin(), removed_markers_.end() - kRemovedMarkersKept);
  }
  for (std::size_t index = 1; index < added; ++index) addRoute("bulk", version);
  markers_.push_back(addRoute("marker", version));
}

std::string VersionHistory::text() const {
  Json resources = Json::array();
  for (const std::string& service : services_) {
    resources.push_back(resource("services", service, {{"max_connections", 200}}));
  }
  for (std::size_t number = 0; number < base_count_; ++number) {
    resources.push_back(routeResource(routes_[number]));
  }
  for (const std::size_t number : live_) resources.push_back(routeResource(routes_[number]));
  resources.push_back(resource("limits", "limits",
                               {{"max_header_bytes", 16384},
                                {"max_body_bytes", 1048576},
                                {"header_timeout", "5s"},
                                {"idle_timeout", "30s"}}));
  return Json{{"version", label(count())}, {"resources", std::move(resources)}}.dump();
}

void VersionHistory::acknowledge(TimePoint now) { acknowledged_at_.push_back(now); }

std::optional<std::size_t> VersionHistory::newestAt(TimePoint when) const {
  const auto after = std::upper_bound(acknowledged_at_.begin(), acknowledged_at_.end(), when);
  if (after == acknowledged_at_.begin()) return std::nullopt;
  return static_cast<std::size_t>(after - acknowledged_at_.begin()) - 1;
}

bool VersionHistory::anyHas(VersionSpan span, const Route& route) const {
  return route.added <= span.last && (!route.removed || *route.removed > span.first);
}

bool VersionHistory::anyLacks(VersionSpan span, const Route& route) const {
  return route.added > span.first || (route.removed && *route.removed <= span.last);
}

}  // namespace coursepond::soak
