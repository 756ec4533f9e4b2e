#pragma once

/// Blocking HTTP calls for tests.

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

#include "core/address.h"
#include "core/time.h"
#include "runtime/http_client.h"

namespace coursepond::process_tests {

/// Blocking client for use by one thread; it keeps its connections open.
class HttpCaller {
 public:
  HttpCaller() : client_(context_) {}

  Result<runtime::HttpClientResponse> call(const Address& address,
                                           runtime::HttpClientRequest request,
                                           Duration timeout = std::chrono::seconds(5));
  Result<runtime::HttpClientResponse> get(const Address& address, const std::string& target);
  Result<runtime::HttpClientResponse> post(const Address& address, const std::string& target,
                                           const std::string& body,
                                           const std::string& bearer_token = "");

 private:
  boost::asio::io_context context_{1};
  runtime::HttpClient client_;
};

/// Returns the value of the header, or an empty string.
std::string headerOf(const runtime::HttpClientResponse& response, std::string_view name);

}  // namespace coursepond::process_tests
