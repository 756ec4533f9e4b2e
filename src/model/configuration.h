#pragma once

/// The configuration as operators publish it on the platform: routes, services, and the secrets
/// the routes need. Plain values; the functions over them are in the neighbouring headers.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/digest.h"
#include "core/ids.h"
#include "core/time.h"

namespace coursepond::model {

/// A request header that must be there with exactly this value.
struct HeaderMatch {
  std::string name;  ///< Compared without case.
  std::string value;
  friend bool operator==(const HeaderMatch&, const HeaderMatch&) = default;
};

/// Which requests a route takes. An empty part matches all.
struct RouteMatch {
  std::string host;                  ///< Exact host, lower case, without the port.
  std::string path_prefix = "/";     ///< Matches whole path segments.
  std::vector<std::string> methods;  ///< Upper case.
  std::vector<HeaderMatch> headers;  ///< All must match.
  friend bool operator==(const RouteMatch&, const RouteMatch&) = default;
};

enum class Priority { kInteractive, kBatch };

/// Whether a request may be sent to a back end a second time after it may have run.
enum class Repeatability {
  kByMethod,  ///< Safe methods (GET, HEAD, OPTIONS) may; others may not.
  kAlways,
  kNever,
};

/// One part of a route whose requests go to several services.
struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 0;  ///< Of the sum of the route's weights.
  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// A secret that the route's requests carry to the back end.
struct SecretUse {
  SecretName secret;
  std::string header;  ///< The request header that is set to the secret's value.
  friend bool operator==(const SecretUse&, const SecretUse&) = default;
};

struct Route {
  RouteName name;
  RouteMatch match;
  ServiceName service;
  std::vector<WeightedService> split;  ///< Empty: all requests go to `service`.
  std::vector<SecretUse> secrets;
  std::vector<ZoneId> zones;  ///< The zones whose proxies hold this route; empty means all.
  /// The regions whose servers may run its requests, and where their bodies may go, sorted; empty
  /// means all.
  std::vector<RegionId> regions{};
  Priority priority = Priority::kInteractive;
  Repeatability repeatability = Repeatability::kByMethod;
  Duration timeout = std::chrono::seconds(5);  ///< When the caller names no deadline.
  Duration longest_hold{};    ///< Answered by then whatever the caller's deadline; zero: no bound.
  Duration target_latency{};  ///< Within which an answer has its full worth; zero: not known.
  std::uint32_t rank = 0;     ///< Among waiting requests, the lowest rank goes first.
  std::uint32_t max_attempts = 0;  ///< Servers one request may be sent to; zero: the service's.
  bool is_public = false;          ///< Its requests need no API key, also where there are tenants.
  friend bool operator==(const Route&, const Route&) = default;
};

struct Service {
  ServiceName name;
  std::uint32_t slots_per_server = 10;         ///< Requests one server runs at a time.
  std::uint32_t connections_per_server = 100;  ///< Connections one server accepts, from all nodes.
  std::uint32_t queue_limit = 200;             ///< Requests that may wait on one node.
  std::uint32_t retry_budget_percent = 20;     ///< Retries allowed, of first attempts.
  std::uint32_t max_attempts = 3;
  std::string health_path{};  ///< Where a server tells how it is; empty: it doesn't.
  Duration warm_up{};         ///< How long a server that starts stays cold; zero: not known.
  /// Requests that a cold server bears, in 1,000 seconds; zero: as many as a warm one.
  std::uint32_t cold_rate_per_1000_s = 0;
  friend bool operator==(const Service&, const Service&) = default;
};

/// What every node knows of a secret. The value travels apart, only to nodes that use it.
struct SecretDescriptor {
  SecretName name;
  Digest digest;  ///< digestOfSecret(name, value).
  friend bool operator==(const SecretDescriptor&, const SecretDescriptor&) = default;
};

/// A secret's value. Has no stream operator and no conversion, so that it cannot be logged.
class SecretValue {
 public:
  SecretValue() = default;
  explicit SecretValue(std::string value) : value_(std::move(value)) {}
  /// The plain value. Only the proxy's upstream request and the peer codec may call this.
  const std::string& reveal() const { return value_; }
  friend bool operator==(const SecretValue&, const SecretValue&) = default;

 private:
  std::string value_;
};

using SecretValues = std::map<SecretName, SecretValue>;

/// How many requests of one tenant are served, by all nodes together. Zero: no limit.
struct Quota {
  std::uint32_t rate_per_1000_s = 0;  ///< Requests in 1,000 seconds.
  std::uint32_t burst = 0;            ///< And so many above that at once.
  bool isLimited() const { return rate_per_1000_s > 0; }
  friend bool operator==(const Quota&, const Quota&) = default;
};

/// A customer whose requests carry one of its API keys.
struct Tenant {
  TenantName name;
  /// Of its API keys, sorted. The keys themselves are kept nowhere: whoever reads a node's memory,
  /// its messages to others or its logs learns none that a request could carry.
  std::vector<Digest> key_digests;
  std::optional<std::uint32_t> rank;  ///< In place of its routes' ranks.
  Quota quota;
  /// The regions whose servers may run its requests, sorted; empty means all.
  std::vector<RegionId> regions{};
  friend bool operator==(const Tenant&, const Tenant&) = default;
};

/// What callers may send and how long they may take. Zero: the node's own setting.
struct CallerLimits {
  std::uint32_t head_bytes = 0;
  std::uint64_t body_bytes = 0;
  Duration head_timeout{};
  Duration idle_timeout{};
  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// One numbered version without secret values. Its digest covers everything but the version.
struct Configuration {
  Version version;
  std::map<RouteName, Route> routes;
  std::map<ServiceName, Service> services;
  std::map<SecretName, SecretDescriptor> secrets;
  std::map<TenantName, Tenant> tenants;  ///< None: requests need no API key.
  CallerLimits limits;
  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// What the platform publishes: the configuration and the secrets' values.
struct ConfigurationDocument {
  Configuration configuration;
  SecretValues secret_values;
};

/// Calls `visit` with the name of each service that `route` may send a request to.
template <typename Visit>
void forEachService(const Route& route, const Visit& visit) {
  if (route.split.empty()) return visit(route.service);
  for (const WeightedService& part : route.split) visit(part.service);
}

/// Digest that binds a secret's value to its name.
Digest digestOfSecret(const SecretName& name, const SecretValue& value);

}  // namespace coursepond::model
