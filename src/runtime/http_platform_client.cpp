#include "runtime/http_platform_client.h"

#include "runtime/http_client.h"

namespace coursepond::runtime {
namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;

Result<source::PlatformAnswer> interpret(const std::string& target, HttpClientResponse response) {
  source::PlatformAnswer answer;
  if (const auto entity_tag = findHeader(response.headers, "ETag")) answer.entity_tag = *entity_tag;
  if (response.status == kNotModified) {
    answer.not_modified = true;
    return answer;
  }
  if (response.status == kOk) {
    answer.body = std::move(response.body);
    return answer;
  }
  if (response.status == kNotFound) {
    return Error{ErrorKind::kNotFound, "the platform has no " + target,
                 "request a published version"};
  }
  return Error{ErrorKind::kUnavailable,
               "the platform answered " + std::to_string(response.status) + " to " + target,
               "check the state of the platform; the configuration in force is kept"};
}

}  // namespace

HttpPlatformClient::HttpPlatformClient(boost::asio::io_context& context, Address platform,
                                       Duration timeout, std::uint64_t answer_limit)
    : platform_(std::move(platform)), timeout_(timeout) {
  HttpClientLimits limits;
  limits.body_bytes = answer_limit;
  client_ = std::make_unique<HttpClient>(context, limits);
}

HttpPlatformClient::~HttpPlatformClient() = default;

void HttpPlatformClient::readNewest(const std::string& entity_tag,
                                    source::PlatformCallback callback) {
  read("/v1/configurations", entity_tag, std::move(callback));
}

void HttpPlatformClient::readConfiguration(Version version, source::PlatformCallback callback) {
  read("/v1/configurations/" + std::to_string(version.value()), "", std::move(callback));
}

void HttpPlatformClient::readMachines(const std::string& entity_tag,
                                      source::PlatformCallback callback) {
  read("/v1/machines", entity_tag, std::move(callback));
}

void HttpPlatformClient::read(std::string target, const std::string& entity_tag,
                              source::PlatformCallback callback) {
  HttpClientRequest request;
  request.target = target;
  request.stall_limit = timeout_;
  if (!entity_tag.empty()) request.headers.push_back({"If-None-Match", entity_tag});
  client_->request(platform_, std::move(request), timeout_,
                   [target = std::move(target),
                    callback = std::move(callback)](Result<HttpClientResponse> response) {
                     if (response) {
                       callback(interpret(target, std::move(*response)));
                     } else {
                       callback(response.error());
                     }
                   });
}

}  // namespace coursepond::runtime
