#pragma once

/// Asks other nodes for tokens of tenants' quotas, and answers them, over HTTP:
///   GET /v1/quota?needed=N&ahead=N&returned=N&stand_in=0|1 with the tenant's name in X-Tenant
///     200 with {"tokens": N, "wait_ms": MS};
///     404 when this node knows no such tenant, or one without a limit: the asker goes elsewhere.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "admission/quota.h"
#include "runtime/http_client.h"
#include "runtime/http_message.h"

namespace coursepond::node {

inline constexpr std::string_view kQuotaPath = "/v1/quota";

/// The question that a request carries; kMalformed when it names no tenant.
Result<admission::QuotaAsk> readQuotaAsk(const runtime::HttpRequest& request);
runtime::HttpResponse quotaAnswer(const admission::QuotaGrant& grant);
/// For a tenant that is unknown or unlimited here.
runtime::HttpResponse noQuotaAnswer();

class HttpQuotaPeers final : public admission::QuotaPeers {
 public:
  /// Every node listens for its peers on `port`.
  HttpQuotaPeers(boost::asio::io_context& context, std::uint16_t port)
      : port_(port), client_(context) {}
  void ask(const std::string& host, const admission::QuotaAsk& ask, Callback callback) override;

 private:
  std::uint16_t port_;
  runtime::HttpClient client_;
};

}  // namespace coursepond::node
