#pragma once

/// HTTP protocol with which nodes request tokens of a tenant's quota from the node that owns it:
///   GET /v1/quota?needed=N&ahead=N&returned=N&stand_in=0|1 with the tenant's name in X-Tenant
///     200 with {"tokens": N, "wait_ms": MS};
///     404 if the node does not know the tenant or the tenant has no limit; the requesting node
///         then asks another node.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "admission/quota.h"
#include "runtime/http_client.h"
#include "runtime/http_message.h"

namespace coursepond::node {

inline constexpr std::string_view kQuotaPath = "/v1/quota";

/// Parses a token request. Fails with kMalformed when it names no tenant.
Result<admission::QuotaRequest> readQuotaRequest(const runtime::HttpRequest& request);
runtime::HttpResponse quotaAnswer(const admission::QuotaGrant& grant);
/// Returns the answer for a tenant that this node does not know or that has no limit.
runtime::HttpResponse noQuotaAnswer();

class HttpQuotaPeers final : public admission::QuotaPeers {
 public:
  /// `port` is the peer port, which is the same on all nodes.
  HttpQuotaPeers(boost::asio::io_context& context, std::uint16_t port)
      : port_(port), client_(context) {}
  void ask(const std::string& host, const admission::QuotaRequest& ask, Callback callback) override;

 private:
  std::uint16_t port_;
  runtime::HttpClient client_;
};

}  // namespace coursepond::node
