#pragma once

/// Strong types for names and numbers that must not be confused with each other.

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace coursepond {

/// A name whose kind is part of its type. `Tag` only distinguishes the kinds.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const Name&, const Name&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Name& name) {
    return out << name.value_;
  }

 private:
  std::string value_;
};

/// The node on a machine, unique in the mesh. A replacement machine has a new id or a new
/// incarnation.
using NodeId = Name<struct NodeIdTag>;
/// A zone: a group of machines that a network partition separates together.
using ZoneId = Name<struct ZoneIdTag>;
/// A region: a group of zones within which data may be shared; see Route::regions.
using RegionId = Name<struct RegionIdTag>;
/// One server of a service, unique in the mesh.
using EndpointId = Name<struct EndpointIdTag>;
using ServiceName = Name<struct ServiceNameTag>;
using RouteName = Name<struct RouteNameTag>;
using SecretName = Name<struct SecretNameTag>;
/// A customer of the mesh, identified by the API key of its requests.
using TenantName = Name<struct TenantNameTag>;
/// A plan, unique in the mesh.
using PlanId = Name<struct PlanIdTag>;

/// A counter whose kind is part of its type. Zero means "none yet".
template <typename Tag>
class Number {
 public:
  constexpr Number() = default;
  constexpr explicit Number(std::uint64_t value) : value_(value) {}

  constexpr std::uint64_t value() const { return value_; }
  constexpr Number next() const { return Number(value_ + 1); }

  friend constexpr auto operator<=>(const Number&, const Number&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Number& number) {
    return out << number.value_;
  }

 private:
  std::uint64_t value_ = 0;
};

/// The number of a configuration that the platform has published. Higher is newer.
using Version = Number<struct VersionTag>;
/// The generation of an endpoint record or a machine list, assigned by the platform. Higher is
/// newer.
using Generation = Number<struct GenerationTag>;
/// Counts how often a watched source was restored from a copy of its data. Higher is newer.
using Era = Number<struct EraTag>;
/// Increases with every new process of a node id and every suspicion it refutes. Higher is newer.
using Incarnation = Number<struct IncarnationTag>;

}  // namespace coursepond

template <typename Tag>
struct std::hash<coursepond::Name<Tag>> {
  std::size_t operator()(const coursepond::Name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value());
  }
};

template <typename Tag>
struct std::hash<coursepond::Number<Tag>> {
  std::size_t operator()(const coursepond::Number<Tag>& number) const noexcept {
    return std::hash<std::uint64_t>{}(number.value());
  }
};
