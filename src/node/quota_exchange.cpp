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
/// An owner usually answers within milliseconds, but when its CPU quota of a tenth of a core is
/// used up it stalls for up to 100 ms. The caller's request waits meanwhile, so the timeout is not
/// much longer than that.
constexpr Duration kAskTimeout = std::chrono::milliseconds(200);
/// Upper bound for the tokens in one request or answer.
constexpr std::uint64_t kMaxTokens = 1'000'000;

double tokensOf(std::string_view query, std::string_view name) {
  return static_cast<double>(std::min(parseNumber(query, name), kMaxTokens));
}

std::string formatTokens(double tokens) {
  return std::to_string(static_cast<std::uint64_t>(std::ceil(std::max(tokens, 0.0))));
}

std::string targetOf(const admission::QuotaRequest& ask) {
  return std::string(kQuotaPath) + "?needed=" + formatTokens(ask.needed) +
         "&ahead=" + formatTokens(ask.ahead) + "&returned=" + formatTokens(ask.returned) +
         "&stand_in=" + (ask.is_stand_in ? "1" : "0");
}

Error unusable(const std::string& what) {
  return Error{ErrorKind::kUnavailable, "a quota's owner gave no usable answer: " + what,
               "none needed: another node is asked"};
}

Result<admission::QuotaGrant> interpret(const Result<runtime::HttpClientResponse>& response) {
  if (!response) return response.error();
  if (response->status != kOk) return unusable(std::to_string(response->status));
  const auto json = nlohmann::json::parse(response->body, nullptr, false);
  try {
    const bool is_grant =
        json.at("tokens").is_number_unsigned() && json.at("wait_ms").is_number_unsigned();
    if (!is_grant) return unusable("tokens and wait_ms must be non-negative integers");
    admission::QuotaGrant grant;
    grant.tokens =
        static_cast<double>(std::min(json.at("tokens").get<std::uint64_t>(), kMaxTokens));
    grant.wait = std::chrono::milliseconds(json.at("wait_ms").get<std::uint32_t>());
    return grant;
  } catch (const nlohmann::json::exception& error) {
    return unusable(std::string("malformed JSON: ") + error.what());
  }
}

}  // namespace

Result<admission::QuotaRequest> readQuotaRequest(const runtime::HttpRequest& request) {
  const auto tenant = runtime::findHeader(request.headers, http_headers::kTenant);
  if (!tenant || tenant->empty()) {
    return Error{ErrorKind::kMalformed, "a request for quota tokens names no tenant",
                 "run the same version of coursepond on all machines"};
  }
  admission::QuotaRequest ask;
  ask.tenant = TenantName(std::string(*tenant));
  ask.asker = request.remote.host;
  ask.needed = tokensOf(request.query(), "needed");
  ask.ahead = tokensOf(request.query(), "ahead");
  ask.returned = tokensOf(request.query(), "returned");
  ask.is_stand_in = parseNumber(request.query(), "stand_in") == 1;
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

void HttpQuotaPeers::ask(const std::string& host, const admission::QuotaRequest& ask,
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
