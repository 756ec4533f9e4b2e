#include "process/http_caller.h"

namespace coursepond::process_tests {

Result<runtime::HttpClientResponse> HttpCaller::call(const Address& address,
                                                     runtime::HttpClientRequest request,
                                                     Duration timeout) {
  std::optional<Result<runtime::HttpClientResponse>> outcome;
  client_.request(address, std::move(request), timeout,
                  [&](Result<runtime::HttpClientResponse> result) { outcome = std::move(result); });
  context_.restart();
  while (!outcome && context_.run_one() > 0) {
  }
  if (!outcome)
    return Error{ErrorKind::kUnavailable, "the call ended without a result", "try again"};
  return std::move(*outcome);
}

Result<runtime::HttpClientResponse> HttpCaller::get(const Address& address,
                                                    const std::string& target) {
  runtime::HttpClientRequest request;
  request.target = target;
  return call(address, std::move(request));
}

Result<runtime::HttpClientResponse> HttpCaller::post(const Address& address,
                                                     const std::string& target,
                                                     const std::string& body,
                                                     const std::string& bearer_token) {
  runtime::HttpClientRequest request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  if (!bearer_token.empty()) request.headers.push_back({"Authorization", "Bearer " + bearer_token});
  constexpr Duration kOperatorCallTimeout = std::chrono::seconds(20);
  return call(address, std::move(request), kOperatorCallTimeout);
}

std::string headerOf(const runtime::HttpClientResponse& response, std::string_view name) {
  return std::string(runtime::findHeader(response.headers, name).value_or(""));
}

}  // namespace coursepond::process_tests
