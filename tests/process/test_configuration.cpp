#include "process/test_configuration.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "core/http_headers.h"
#include "process/http_caller.h"

namespace coursepond::process_tests {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kRouteTimeoutMs = 5000;

const char* serviceOf(Version version) {
  return version.value() % 2 == 0 ? kEvenService : kOddService;
}

std::string keyOf(Version version) { return "key-" + std::to_string(version.value()); }

json makeRoute(const char* name, const char* path, const char* repeatable, Version version) {
  return {{"name", name},
          {"path_prefix", path},
          {"service", serviceOf(version)},
          {"secrets", {{{"secret", "key"}, {"header", "X-Key"}}}},
          {"repeatable", repeatable},
          {"timeout_ms", kRouteTimeoutMs}};
}

}  // namespace

std::string testDocument(Version version) {
  return json{
      {"version", version.value()},
      {"routes",
       {makeRoute("everything", "/", "by_method", version),
        makeRoute("once", kOncePath, "never", version),
        makeRoute("witness", "/witness", "by_method", version)}},
      {"services",
       {{{"name", serviceOf(version)}, {"slots_per_server", 10}, {"connections_per_server", 120}}}},
      {"secrets", {{{"name", "key"}, {"value", keyOf(version)}}}}}
      .dump();
}

Version versionOf(const runtime::HttpClientResponse& response) {
  const std::string text = headerOf(response, http_headers::kConfigurationVersion);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return Version(value);
}

bool matchesItsVersion(const runtime::HttpClientResponse& response) {
  if (response.status != kOk) return true;
  const Version version = versionOf(response);
  const bool right_service = headerOf(response, "X-Backend").starts_with(serviceOf(version));
  return right_service && headerOf(response, "X-Echo") == keyOf(version);
}

}  // namespace coursepond::process_tests
