#include "admin/operator_api.h"

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

#include "admin/answers.h"

namespace coursepond::admin {
namespace {

constexpr std::string_view kPlans = "/v1/plans";
constexpr std::string_view kPlanPrefix = "/v1/plans/";
constexpr std::string_view kConfirmSuffix = "/confirm";
constexpr std::string_view kStatus = "/v1/status";
constexpr std::string_view kProxies = "/v1/proxies";
/// Upper bound for concurrent requests on one node; further ones are refused.
constexpr std::size_t kMaxRunningRequests = 64;

/// Compares in time that does not depend on where the texts differ, to prevent timing attacks.
bool equalInConstantTime(std::string_view left, std::string_view right) {
  unsigned difference = left.size() == right.size() ? 0 : 1;
  for (std::size_t i = 0; i < left.size(); ++i) {
    const char other = right.empty() ? '\0' : right[i % right.size()];
    difference |= static_cast<unsigned char>(left[i] ^ other);
  }
  return difference == 0;
}

Error unauthorized() {
  return Error{ErrorKind::kUnauthorized, "the bearer token is missing or wrong",
               "send 'Authorization: Bearer <token>' with the token of the node's settings"};
}

Error noSuchResource(const AdminRequest& request) {
  return Error{ErrorKind::kNotFound, "there is no " + request.method + " " + request.path,
               "see docs/operators/PLANNING-AND-CONFIRMING.md for the resources"};
}

Error overloaded() {
  return Error{ErrorKind::kOverloaded, "too many operator requests are in progress",
               "try again in a second"};
}

Error badVersion() {
  return Error{ErrorKind::kInvalidArgument, "the body does not specify a version",
               R"(send {"version": 12} or {"version": "newest"})"};
}

/// Returns the version in the body; zero means the newest.
Result<Version> parseVersion(const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || json.size() != 1 || !json.contains("version")) {
    return badVersion();
  }
  const nlohmann::json& version = json["version"];
  if (version.is_string() && version.get_ref<const std::string&>() == "newest") {
    return Version();
  }
  if (!version.is_number_unsigned() || version.get<std::uint64_t>() == 0) {
    return badVersion();
  }
  return Version(version.get<std::uint64_t>());
}

}  // namespace

OperatorApi::OperatorApi(AdminParts parts, AdminSettings settings)
    : parts_(std::move(parts)),
      settings_(std::move(settings)),
      proxies_(parts_, settings_),
      fetcher_(parts_, settings_),
      plans_(parts_, settings_, proxies_, fetcher_) {}

void OperatorApi::handle(const AdminRequest& request, AdminCallback callback) {
  ++statistics_.requests;
  if (!authorized(request)) {
    ++statistics_.unauthorized;
    callback(errorAnswer(unauthorized()));
    return;
  }
  if (running_ >= kMaxRunningRequests) {
    ++statistics_.overloaded;
    callback(errorAnswer(overloaded()));
    return;
  }
  ++running_;
  dispatch(request, [this, callback = std::move(callback)](const AdminResponse& response) {
    --running_;
    callback(response);
  });
}

bool OperatorApi::authorized(const AdminRequest& request) const {
  return !settings_.bearer_token.empty() &&
         equalInConstantTime(request.bearer_token, settings_.bearer_token);
}

void OperatorApi::dispatch(const AdminRequest& request, const AdminCallback& callback) {
  if (request.method == "POST" && request.path == kPlans) {
    makePlan(request, callback);
  } else if (request.path.starts_with(kPlanPrefix)) {
    onPlanPath(request, callback);
  } else if (request.method == "GET" && request.path == kStatus) {
    showStatus(callback);
  } else if (request.method == "GET" && request.path == kProxies) {
    showProxies(callback);
  } else {
    callback(errorAnswer(noSuchResource(request)));
  }
}

void OperatorApi::makePlan(const AdminRequest& request, const AdminCallback& callback) {
  const auto version = parseVersion(request.body);
  if (version.has_error()) {
    callback(errorAnswer(version.error()));
    return;
  }
  plans_.make(
      *version, [callback](const Plan& plan) { callback(planAnswer(plan, 201)); },
      [callback](const PlanRefusal& refusal) { callback(refusalAnswer(refusal)); });
}

void OperatorApi::onPlanPath(const AdminRequest& request, const AdminCallback& callback) {
  std::string id = request.path.substr(kPlanPrefix.size());
  if (request.method == "GET") {
    showPlan(id, callback);
  } else if (request.method == "POST" && id.ends_with(kConfirmSuffix)) {
    id.resize(id.size() - kConfirmSuffix.size());
    confirmPlan(id, callback);
  } else {
    callback(errorAnswer(noSuchResource(request)));
  }
}

void OperatorApi::showPlan(const std::string& id, const AdminCallback& callback) {
  const auto proposed = parsePlanId(id);
  if (proposed.has_error()) {
    callback(errorAnswer(proposed.error()));
    return;
  }
  plans_.show(*proposed, [callback](const Plan& plan) { callback(planAnswer(plan, 200)); });
}

void OperatorApi::confirmPlan(const std::string& id, const AdminCallback& callback) {
  const auto proposed = parsePlanId(id);
  if (proposed.has_error()) {
    callback(errorAnswer(proposed.error()));
    return;
  }
  plans_.confirm(*proposed, [callback](const Result<distribution::AcceptanceRecord>& outcome) {
    callback(outcome.has_value() ? confirmedAnswer(*outcome) : unconfirmedAnswer(outcome.error()));
  });
}

void OperatorApi::showStatus(const AdminCallback& callback) {
  proxies_.gather(
      [this, callback](const ProxyCensus& census) { callback(statusAnswer(parts_, census)); });
}

void OperatorApi::showProxies(const AdminCallback& callback) {
  proxies_.gather([callback](const ProxyCensus& census) { callback(proxiesAnswer(census)); });
}

void OperatorApi::onMessage(const NodeId& from, const Message& message) {
  if (const auto* fetch = std::get_if<FetchRequest>(&message)) {
    fetcher_.onRequest(from, *fetch);
  } else if (const auto* fetched = std::get_if<FetchAnswer>(&message)) {
    fetcher_.onAnswer(from, *fetched);
  } else if (const auto* states = std::get_if<ProxyStatesRequest>(&message)) {
    proxies_.onRequest(from, *states);
  } else if (const auto* answer = std::get_if<ProxyStatesAnswer>(&message)) {
    proxies_.onAnswer(from, *answer);
  }
}

}  // namespace coursepond::admin
