#pragma once

/// The configuration as operators publish it on the platform: routes, services, and the secrets
/// the routes need. Plain data types; the functions that operate on them are in the other headers
/// of src/model.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/digest.h"
#include "core/ids.h"
#include "core/time.h"

namespace coursepond::model {

/// Matches requests that have this header with exactly this value.
struct HeaderMatch {
  std::string name;  ///< Case-insensitive.
  std::string value;
  friend bool operator==(const HeaderMatch&, const HeaderMatch&) = default;
};

/// Selects the requests of a route. An empty field matches every request.
/// How a path prefix is compared with a path.
enum class PrefixMatch {
  kSegments,  ///< By whole segments: "/a" takes "/a" and "/a/b". Has no trailing slash.
  kText,      ///< Character by character: "/a/" takes "/a/" and "/a/b", not "/a". Ends with '/'.
};

struct RouteMatch {
  std::string host;               ///< Exact host, lower case, without the port.
  std::string path_prefix = "/";  ///< See `prefix_match`.
  PrefixMatch prefix_match = PrefixMatch::kSegments;
  std::vector<std::string> methods;  ///< Upper case.
  std::vector<HeaderMatch> headers;  ///< All must match.
  friend bool operator==(const RouteMatch&, const RouteMatch&) = default;
};

enum class Priority { kInteractive, kBatch };

/// Whether a request may be retried after a back end may already have executed it.
enum class Repeatability {
  kByMethod,  ///< Safe methods (GET, HEAD, OPTIONS) may be retried; others may not.
  kAlways,
  kNever,
};

/// One target of a route that splits its requests between several services.
struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 0;  ///< Share of requests, relative to the sum of weights.
  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// A secret that is added to the route's requests to the back end.
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
  Duration timeout = std::chrono::seconds(5);  ///< Used if the caller sets no deadline.
  Duration longest_hold{};         ///< Upper bound for any caller's deadline; zero: no bound.
  Duration target_latency{};       ///< Latency up to which an answer has full value; zero: unknown.
  std::uint32_t rank = 0;          ///< Queued requests with the lowest rank are sent first.
  std::uint32_t max_attempts = 0;  ///< Servers tried per request; zero: the service's limit.
  bool is_public = false;          ///< Requests need no API key, even if tenants are configured.
  friend bool operator==(const Route&, const Route&) = default;
};

struct Service {
  ServiceName name;
  std::uint32_t slots_per_server = 10;         ///< Concurrent requests that one server executes.
  std::uint32_t connections_per_server = 100;  ///< Connections one server accepts, from all nodes.
  std::uint32_t queue_limit = 200;             ///< Upper bound for queued requests on one node.
  std::uint32_t retry_budget_percent = 20;     ///< Retries allowed, in percent of first attempts.
  std::uint32_t max_attempts = 3;
  std::string health_path{};  ///< Path of the server's health endpoint; empty: none.
  Duration warm_up{};         ///< How long a server stays cold after its start; zero: unknown.
  /// Request rate that a cold server can handle, in requests per 1,000 seconds; zero: the same as a
  /// warm one.
  std::uint32_t cold_rate_per_1000_s = 0;
  friend bool operator==(const Service&, const Service&) = default;
};

/// The public part of a secret, known to every node. The value is distributed separately, and only
/// to the nodes that use it.
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
  /// Returns the plain value. Only the proxy's upstream request and the peer codec may call this.
  const std::string& reveal() const { return value_; }
  friend bool operator==(const SecretValue&, const SecretValue&) = default;

 private:
  std::string value_;
};

using SecretValues = std::map<SecretName, SecretValue>;

/// Limits the request rate of one tenant, summed over all nodes. Zero: no limit.
struct Quota {
  std::uint32_t rate_per_1000_s = 0;  ///< Requests in 1,000 seconds.
  std::uint32_t burst = 0;            ///< Requests allowed in a burst above the rate.
  bool isLimited() const { return rate_per_1000_s > 0; }
  friend bool operator==(const Quota&, const Quota&) = default;
};

/// A customer that is identified by the API key in its requests.
struct Tenant {
  TenantName name;
  /// Digests of its API keys, sorted. The keys themselves are not stored, so that a node's memory,
  /// its messages to peers and its logs contain no usable key.
  std::vector<Digest> key_digests;
  std::optional<std::uint32_t> rank;  ///< Overrides the rank of the routes.
  Quota quota;
  /// The regions whose servers may run its requests, sorted; empty means all.
  std::vector<RegionId> regions{};
  friend bool operator==(const Tenant&, const Tenant&) = default;
};

/// Limits for the size and duration of callers' requests. Zero: the node's own setting applies.
struct CallerLimits {
  std::uint32_t head_bytes = 0;
  std::uint64_t body_bytes = 0;
  Duration head_timeout{};
  Duration idle_timeout{};
  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// One version of the configuration, without secret values. Its digest covers everything except the
/// version number.
struct Configuration {
  Version version;
  std::map<RouteName, Route> routes;
  std::map<ServiceName, Service> services;
  std::map<SecretName, SecretDescriptor> secrets;
  std::map<TenantName, Tenant> tenants;  ///< Empty: requests need no API key.
  CallerLimits limits;
  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// A document as published by the platform: the configuration and the values of its secrets.
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

/// Returns a digest of the name and the value of a secret.
Digest digestOfSecret(const SecretName& name, const SecretValue& value);

}  // namespace coursepond::model
