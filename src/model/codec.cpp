#include "model/codec.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace coursepond::model {
namespace {

using Json = boost::json::value;
using boost::json::storage_ptr;

const std::vector<std::string_view> kPrefixMatchNames = {"segments", "text"};
const std::vector<std::string_view> kPriorityNames = {"interactive", "batch"};
const std::vector<std::string_view> kRepeatabilityNames = {"by_method", "always", "never"};

/// Number of keys for which a route object reserves memory.
constexpr std::size_t kRouteKeys = 18;
/// Number of keys for which a tenant object reserves memory.
constexpr std::size_t kTenantKeys = 6;

constexpr NumberRange kTimeoutRange{1, 3'600'000};
constexpr NumberRange kSlotRange{1, 100'000};
constexpr NumberRange kConnectionRange{1, 1'000'000};
constexpr NumberRange kQueueRange{0, 1'000'000};
constexpr NumberRange kPercentRange{0, 100};
constexpr NumberRange kAttemptRange{1, 10};
constexpr NumberRange kColdRateRange{0, 1'000'000'000};
constexpr NumberRange kRouteAttemptRange{0, 10};
constexpr NumberRange kOptionalTimeRange{0, 3'600'000};
constexpr NumberRange kRankRange{0, 1000};
constexpr NumberRange kQuotaRange{0, 0xFFFFFFFF};
constexpr NumberRange kWeightRange{0, 1'000'000};
constexpr NumberRange kHeadBytesRange{0, 1U << 24U};
constexpr NumberRange kBodyBytesRange{0, 1ULL << 40U};

/// Headers that frame a request; setting one of them to a secret would corrupt the connection.
constexpr std::array<std::string_view, 6> kFramingHeaders = {
    "connection", "content-length", "host", "te", "transfer-encoding", "upgrade"};

std::string lowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : static_cast<char>(character);
  });
  return text;
}

/// Removes trailing slashes, which have no meaning in a prefix of whole segments.
std::string withoutTrailingSlash(std::string path) {
  while (path.size() > 1 && path.back() == '/') path.pop_back();
  return path;
}

void readPathPrefix(ObjectReader& reader, RouteMatch& match) {
  std::string prefix = reader.textOr("path_prefix", "/", rules::kPathPrefix);
  match.prefix_match =
      static_cast<PrefixMatch>(reader.choiceOr("prefix_match", 0, kPrefixMatchNames));
  if (match.prefix_match == PrefixMatch::kSegments) {
    match.path_prefix = withoutTrailingSlash(std::move(prefix));
    return;
  }
  if (!prefix.ends_with('/')) {
    reader.refuse("path_prefix", ErrorKind::kInvalidArgument,
                  "'" + prefix + "' does not end with '/', which prefix_match \"text\" requires",
                  "add the slash, or leave prefix_match out to match whole segments");
  }
  match.path_prefix = std::move(prefix);
}

std::vector<HeaderMatch> readHeaderMatches(ObjectReader& reader) {
  std::vector<HeaderMatch> headers;
  reader.optionalObjects("headers", [&headers](ObjectReader& element) {
    HeaderMatch header;
    header.name = lowerCase(element.text("name", rules::kHeaderName));
    header.value = element.text("value", rules::kHeaderValue);
    for (const HeaderMatch& other : headers) {
      if (other.name != header.name || header.name.empty()) continue;
      element.refuse("name", ErrorKind::kInvalidArgument,
                     "header '" + header.name + "' is listed twice", "keep one of them");
    }
    headers.push_back(std::move(header));
  });
  std::sort(headers.begin(), headers.end(), [](const HeaderMatch& left, const HeaderMatch& right) {
    return left.name < right.name;
  });
  return headers;
}

RouteMatch readMatch(ObjectReader& reader) {
  RouteMatch match;
  match.host = reader.textOr("host", "", rules::kHost);
  readPathPrefix(reader, match);
  match.methods = reader.sortedTexts("methods", rules::kMethod);
  match.headers = readHeaderMatches(reader);
  return match;
}

std::vector<SecretUse> readSecretUses(ObjectReader& reader) {
  std::vector<SecretUse> uses;
  reader.optionalObjects("secrets", [&uses](ObjectReader& element) {
    SecretUse use;
    use.secret = SecretName(element.text("secret", rules::kName));
    use.header = element.text("header", rules::kHeaderName);
    const std::string header = lowerCase(use.header);
    if (std::find(kFramingHeaders.begin(), kFramingHeaders.end(), header) !=
        kFramingHeaders.end()) {
      element.refuse("header", ErrorKind::kInvalidArgument,
                     "header '" + use.header + "' controls the framing of the request",
                     "use a header such as Authorization");
    }
    for (const SecretUse& other : uses) {
      if (lowerCase(other.header) != header || header.empty()) continue;
      element.refuse("header", ErrorKind::kInvalidArgument,
                     "header '" + use.header + "' is set twice", "keep one of them");
    }
    uses.push_back(std::move(use));
  });
  std::sort(uses.begin(), uses.end(), [](const SecretUse& left, const SecretUse& right) {
    return left.header < right.header;
  });
  return uses;
}

std::uint32_t readSmallNumber(ObjectReader& reader, std::string_view key, std::uint32_t fallback,
                              NumberRange range) {
  return static_cast<std::uint32_t>(reader.numberOr(key, fallback, range));
}

std::chrono::milliseconds readOptionalTime(ObjectReader& reader, std::string_view key) {
  return std::chrono::milliseconds(reader.numberOr(key, 0, kOptionalTimeRange));
}

std::vector<WeightedService> readSplit(ObjectReader& reader) {
  std::vector<WeightedService> split;
  std::uint64_t sum = 0;
  reader.optionalObjects("split", [&](ObjectReader& element) {
    WeightedService part;
    part.service = ServiceName(element.text("service", rules::kName));
    part.weight = static_cast<std::uint32_t>(element.number("weight", kWeightRange));
    sum += part.weight;
    split.push_back(std::move(part));
  });
  if (!split.empty() && sum == 0) {
    reader.refuse("split", ErrorKind::kInvalidArgument, "no part has a weight above zero",
                  "give at least one part a weight of 1 or more");
  }
  return split;
}

/// Writes one JSON object key by key.
class ObjectWriter {
 public:
  ObjectWriter(const storage_ptr& storage, std::size_t keys) : object_(storage) {
    object_.reserve(keys);
  }
  void add(std::string_view key, std::string_view text) {
    object_.emplace(key, boost::json::string_view(text));
  }
  void add(std::string_view key, std::uint64_t number) { object_.emplace(key, number); }
  void addFlag(std::string_view key, bool flag) { object_.emplace(key, flag); }
  void addTime(std::string_view key, Duration time) { object_.emplace(key, toMilliseconds(time)); }
  void addList(std::string_view key, boost::json::array list) {
    object_.emplace(key, std::move(list));
  }
  Json take() { return Json(std::move(object_)); }

 private:
  boost::json::object object_;
};

boost::json::array headersToJson(const std::vector<HeaderMatch>& headers,
                                 const storage_ptr& storage) {
  boost::json::array list(storage);
  list.reserve(headers.size());
  for (const HeaderMatch& header : headers) {
    ObjectWriter writer(storage, 2);
    writer.add("name", header.name);
    writer.add("value", header.value);
    list.push_back(writer.take());
  }
  return list;
}

boost::json::array secretUsesToJson(const std::vector<SecretUse>& uses,
                                    const storage_ptr& storage) {
  boost::json::array list(storage);
  list.reserve(uses.size());
  for (const SecretUse& use : uses) {
    ObjectWriter writer(storage, 2);
    writer.add("header", use.header);
    writer.add("secret", use.secret.value());
    list.push_back(writer.take());
  }
  return list;
}

boost::json::array splitToJson(const std::vector<WeightedService>& split,
                               const storage_ptr& storage) {
  boost::json::array list(storage);
  list.reserve(split.size());
  for (const WeightedService& part : split) {
    ObjectWriter writer(storage, 2);
    writer.add("service", part.service.value());
    writer.add("weight", part.weight);
    list.push_back(writer.take());
  }
  return list;
}

boost::json::array methodsToJson(const std::vector<std::string>& methods,
                                 const storage_ptr& storage) {
  boost::json::array list(storage);
  list.reserve(methods.size());
  for (const std::string& method : methods) list.emplace_back(boost::json::string_view(method));
  return list;
}

template <typename NameType>
boost::json::array namesToJson(const std::vector<NameType>& names, const storage_ptr& storage) {
  boost::json::array list(storage);
  list.reserve(names.size());
  for (const NameType& name : names) list.emplace_back(boost::json::string_view(name.value()));
  return list;
}

void readRouteBounds(ObjectReader& reader, Route& route) {
  route.split = readSplit(reader);
  route.longest_hold = readOptionalTime(reader, "longest_hold_ms");
  route.target_latency = readOptionalTime(reader, "target_latency_ms");
  route.rank = readSmallNumber(reader, "rank", 0, kRankRange);
  route.max_attempts = readSmallNumber(reader, "max_attempts", 0, kRouteAttemptRange);
}

std::vector<RegionId> readRegions(ObjectReader& reader) {
  std::vector<RegionId> regions;
  for (std::string& region : reader.sortedTexts("regions", rules::kName)) {
    regions.emplace_back(std::move(region));
  }
  return regions;
}

boost::json::array digestsToJson(const std::vector<Digest>& digests, const storage_ptr& storage) {
  boost::json::array list(storage);
  list.reserve(digests.size());
  for (const Digest& digest : digests) list.emplace_back(digest.toHex());
  return list;
}

bool isDigest(std::string_view text) { return Digest::fromHex(text).has_value(); }

constexpr TextRule kDigestRule = {"a SHA-256 digest of 64 hexadecimal digits", isDigest, true};

}  // namespace

/// Omits bounds that have their default value, so that the digest of a configuration that does not
/// use them stays the same.
Json routeToJson(const Route& route, const storage_ptr& storage) {
  ObjectWriter writer(storage, kRouteKeys);
  writer.addList("headers", headersToJson(route.match.headers, storage));
  writer.add("host", route.match.host);
  if (route.longest_hold > Duration(0)) writer.addTime("longest_hold_ms", route.longest_hold);
  if (route.max_attempts > 0) writer.add("max_attempts", route.max_attempts);
  writer.addList("methods", methodsToJson(route.match.methods, storage));
  writer.add("name", route.name.value());
  writer.add("path_prefix", route.match.path_prefix);
  if (route.match.prefix_match != PrefixMatch::kSegments) {
    writer.add("prefix_match",
               kPrefixMatchNames[static_cast<std::size_t>(route.match.prefix_match)]);
  }
  writer.add("priority", kPriorityNames[static_cast<std::size_t>(route.priority)]);
  if (route.is_public) writer.addFlag("public", true);
  if (route.rank > 0) writer.add("rank", route.rank);
  if (!route.regions.empty()) writer.addList("regions", namesToJson(route.regions, storage));
  writer.add("repeatable", kRepeatabilityNames[static_cast<std::size_t>(route.repeatability)]);
  writer.addList("secrets", secretUsesToJson(route.secrets, storage));
  writer.add("service", route.service.value());
  if (!route.split.empty()) writer.addList("split", splitToJson(route.split, storage));
  if (route.target_latency > Duration(0)) {
    writer.addTime("target_latency_ms", route.target_latency);
  }
  writer.addTime("timeout_ms", route.timeout);
  writer.addList("zones", namesToJson(route.zones, storage));
  return writer.take();
}

Json serviceToJson(const Service& service, const storage_ptr& storage) {
  ObjectWriter writer(storage, 9);
  if (service.cold_rate_per_1000_s > 0) {
    writer.add("cold_rate_per_1000_s", service.cold_rate_per_1000_s);
  }
  writer.add("connections_per_server", service.connections_per_server);
  if (!service.health_path.empty()) writer.add("health_path", service.health_path);
  writer.add("max_attempts", service.max_attempts);
  writer.add("name", service.name.value());
  writer.add("queue_limit", service.queue_limit);
  writer.add("retry_budget_percent", service.retry_budget_percent);
  writer.add("slots_per_server", service.slots_per_server);
  if (service.warm_up > Duration(0)) writer.addTime("warm_up_ms", service.warm_up);
  return writer.take();
}

Json tenantToJson(const Tenant& tenant, const storage_ptr& storage) {
  ObjectWriter writer(storage, kTenantKeys);
  if (tenant.quota.burst > 0) writer.add("burst", tenant.quota.burst);
  writer.addList("key_digests", digestsToJson(tenant.key_digests, storage));
  writer.add("name", tenant.name.value());
  if (tenant.rank) writer.add("rank", *tenant.rank);
  if (tenant.quota.isLimited()) writer.add("rate_per_1000_s", tenant.quota.rate_per_1000_s);
  if (!tenant.regions.empty()) writer.addList("regions", namesToJson(tenant.regions, storage));
  return writer.take();
}

Json limitsToJson(const CallerLimits& limits, const storage_ptr& storage) {
  ObjectWriter writer(storage, 4);
  writer.add("body_bytes", limits.body_bytes);
  writer.add("head_bytes", limits.head_bytes);
  writer.addTime("head_timeout_ms", limits.head_timeout);
  writer.addTime("idle_timeout_ms", limits.idle_timeout);
  return writer.take();
}

Json descriptorToJson(const SecretDescriptor& descriptor, const storage_ptr& storage) {
  ObjectWriter writer(storage, 2);
  writer.add("digest", descriptor.digest.toHex());
  writer.add("name", descriptor.name.value());
  return writer.take();
}

Route readRoute(ObjectReader& reader) {
  Route route;
  route.name = RouteName(reader.text("name", rules::kName));
  route.match = readMatch(reader);
  route.service = ServiceName(reader.text("service", rules::kName));
  route.secrets = readSecretUses(reader);
  for (std::string& zone : reader.sortedTexts("zones", rules::kName)) {
    route.zones.emplace_back(std::move(zone));
  }
  route.regions = readRegions(reader);
  route.is_public = reader.flagOr("public", false);
  route.priority = static_cast<Priority>(reader.choiceOr("priority", 0, kPriorityNames));
  route.repeatability =
      static_cast<Repeatability>(reader.choiceOr("repeatable", 0, kRepeatabilityNames));
  const auto default_timeout = static_cast<std::uint64_t>(toMilliseconds(route.timeout));
  route.timeout =
      std::chrono::milliseconds(reader.numberOr("timeout_ms", default_timeout, kTimeoutRange));
  readRouteBounds(reader, route);
  return route;
}

CallerLimits readLimits(ObjectReader& reader) {
  CallerLimits limits;
  limits.head_bytes = readSmallNumber(reader, "head_bytes", 0, kHeadBytesRange);
  limits.body_bytes = reader.numberOr("body_bytes", 0, kBodyBytesRange);
  limits.head_timeout = readOptionalTime(reader, "head_timeout_ms");
  limits.idle_timeout = readOptionalTime(reader, "idle_timeout_ms");
  return limits;
}

Service readService(ObjectReader& reader) {
  Service service;
  service.name = ServiceName(reader.text("name", rules::kName));
  service.slots_per_server =
      readSmallNumber(reader, "slots_per_server", service.slots_per_server, kSlotRange);
  service.connections_per_server = readSmallNumber(
      reader, "connections_per_server", service.connections_per_server, kConnectionRange);
  service.queue_limit = readSmallNumber(reader, "queue_limit", service.queue_limit, kQueueRange);
  service.retry_budget_percent =
      readSmallNumber(reader, "retry_budget_percent", service.retry_budget_percent, kPercentRange);
  service.max_attempts =
      readSmallNumber(reader, "max_attempts", service.max_attempts, kAttemptRange);
  service.health_path = reader.textOr("health_path", "", rules::kPathPrefix);
  service.warm_up = readOptionalTime(reader, "warm_up_ms");
  service.cold_rate_per_1000_s = readSmallNumber(reader, "cold_rate_per_1000_s", 0, kColdRateRange);
  return service;
}

Tenant readTenant(ObjectReader& reader) {
  Tenant tenant;
  tenant.name = TenantName(reader.text("name", rules::kName));
  for (const std::string& digest : reader.sortedTexts("key_digests", kDigestRule)) {
    if (const Result<Digest> read = Digest::fromHex(digest)) tenant.key_digests.push_back(*read);
  }
  if (reader.has("rank")) tenant.rank = readSmallNumber(reader, "rank", 0, kRankRange);
  tenant.quota.rate_per_1000_s = readSmallNumber(reader, "rate_per_1000_s", 0, kQuotaRange);
  tenant.quota.burst = readSmallNumber(reader, "burst", 0, kQuotaRange);
  tenant.regions = readRegions(reader);
  return tenant;
}

SecretDescriptor readDescriptor(ObjectReader& reader) {
  SecretDescriptor descriptor;
  descriptor.name = SecretName(reader.text("name", rules::kName));
  descriptor.digest = reader.digest("digest");
  return descriptor;
}

}  // namespace coursepond::model
