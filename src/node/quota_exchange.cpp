#include "node/quota_exchange.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "core/http_headers.h"
#include "node/query.h"

namespace coursepond::node {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
/// An owner answers within milliseconds. One whose tenth of a core is used up stands still for up
/// to a tenth of a second; the request waits meanwhile, so that it is not waited for much longer.
constexpr Duration kAskTimeout = std::chrono::milliseconds(200);
/// Nobody lends more at once.
constexpr std::uint64_t kMostTokens = 1'000'000;

double tokensOf(std::string_view query, std::string_view name) {
  return static_cast<double>(std::min(numberOf(query, name), kMostTokens));
}

std::string number(double tokens) {
  return std::to_string(static_cast<std::uint64_t>(std::ceil(std::max(tokens, 0.0))));
}

std::string targetOf(const admission::QuotaAsk& ask) {
  return std::string(kQuotaPath) + "?needed=" + number(ask.needed) + "&ahead=" + number(ask.ahead) +
         "&returned=" + number(ask.returned) + "&stand_in=" + (ask.is_stand_in ? "1" : "0");
}

Error unusable(const std::string& what) {
  return Error{ErrorKind::kUnavailable, "a quota's owner answered " + what,
               "another node is asked"};
}

Result<admission::QuotaGrant> interpret(const Result<runtime::HttpClientResponse>& response) {
  if (!response) return response.error();
  if (response->status != kOk) return unusable(std::to_string(response->status));
  const auto json = nlohmann::json::parse(response->body, nullptr, false);
  try {
    const bool is_grant =
        json.at("tokens").is_number_unsigned() && json.at("wait_ms").is_number_unsigned();
    if (!is_grant) return unusable("with other than two counts");
    admission::QuotaGrant grant;
    grant.tokens =
        static_cast<double>(std::min(json.at("tokens").get<std::uint64_t>(), kMostTokens));
    grant.wait = std::chrono::milliseconds(json.at("wait_ms").get<std::uint32_t>());
    return grant;
  } catch (const nlohmann::json::exception& error) {
    return unusable(std::string("what cannot be read: ") + error.what());
  }
}

}  // namespace

Result<admission::QuotaAsk> readQuotaAsk(const runtime::HttpRequest& request) {
  const auto tenant = runtime::findHeader(request.headers, http_headers::kTenant);
  if (!tenant || tenant->empty()) {
    return Error{ErrorKind::kMalformed, "a question for tokens names no tenant",
                 "run the same version of coursepond on all machines"};
  }
  admission::QuotaAsk ask;
  ask.tenant = TenantName(std::string(*tenant));
  ask.asker = request.remote.host;
  ask.needed = tokensOf(request.query(), "needed");
  ask.ahead = tokensOf(request.query(), "ahead");
  ask.returned = tokensOf(request.query(), "returned");
  ask.is_stand_in = numberOf(request.query(), "stand_in") == 1;
  return ask;
}

runtime::HttpResponse quotaAnswer(const admission::QuotaGrant& grant) {
  const nlohmann::json json = {{"tokens", static_cast<std::uint64_t>(grant.tokens)},
                               {"wait_ms", toMilliseconds(grant.wait)}};
  runtime::HttpResponse response;
  response.content_type = "application/json";
  response.body = json.dump();
  return response;
}

runtime::HttpResponse noQuotaAnswer() {
  runtime::HttpResponse response;
  response.status = kNotFound;
  return response;
}

void HttpQuotaPeers::ask(const std::string& host, const admission::QuotaAsk& ask,
                         Callback callback) {
  runtime::HttpClientRequest request;
  request.target = targetOf(ask);
  request.headers.push_back({http_headers::kTenant, ask.tenant.value()});
  client_.request(
      Address{host, port_}, std::move(request), kAskTimeout,
      [callback = std::move(callback)](const Result<runtime::HttpClientResponse>& response) {
        callback(interpret(response));
      });
}

}  // namespace coursepond::node
