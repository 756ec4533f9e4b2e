#include "node/admin_server.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace coursepond::node {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kServiceUnavailable = 503;
constexpr std::string_view kApiPrefix = "/v1/";
constexpr std::string_view kBearerPrefix = "Bearer ";
/// Content type of the Prometheus text format.
constexpr char kMetricsType[] = "text/plain; version=0.0.4; charset=utf-8";

std::string bearerToken(const runtime::HttpRequest& request) {
  const auto header = runtime::findHeader(request.headers, "Authorization");
  if (!header || !header->starts_with(kBearerPrefix)) return "";
  return std::string(header->substr(kBearerPrefix.size()));
}

runtime::HttpResponse text(int status, std::string body) {
  runtime::HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

/// Formats a delay for Retry-After: whole seconds, rounded up, at least one.
std::string formatSeconds(Duration delay) {
  const std::int64_t seconds = (toMilliseconds(delay) + 999) / 1000;
  return std::to_string(std::max<std::int64_t>(1, seconds));
}

runtime::HttpResponse fromApi(admin::AdminResponse answer) {
  runtime::HttpResponse response;
  response.status = answer.status;
  response.content_type = "application/json";
  response.body = std::move(answer.json_body);
  if (answer.retry_after) {
    response.headers.push_back({"Retry-After", formatSeconds(*answer.retry_after)});
  }
  return response;
}

}  // namespace

Result<std::unique_ptr<AdminServer>> AdminServer::create(boost::asio::io_context& context,
                                                         const Address& listen,
                                                         const runtime::AdminSettings& settings,
                                                         AdminSources sources) {
  std::unique_ptr<AdminServer> server(new AdminServer(std::move(sources)));
  runtime::HttpServerLimits limits;
  limits.body_bytes = settings.body_limit_bytes;
  limits.connections = settings.connection_limit;
  Result<std::unique_ptr<runtime::HttpServer>> http =
      runtime::HttpServer::create(context, listen, limits,
                                  [self = server.get()](const runtime::HttpRequest& request,
                                                        const runtime::HttpResponder& responder) {
                                    self->handle(request, responder);
                                  });
  if (!http) return http.error();
  server->server_ = std::move(*http);
  server->readiness_path_ = settings.readiness_path;
  return server;
}

void AdminServer::handle(const runtime::HttpRequest& request,
                         const runtime::HttpResponder& responder) {
  if (request.path().starts_with(kApiPrefix)) {
    handleApi(request, responder);
  } else {
    responder.respond(page(request));
  }
}

void AdminServer::handleApi(const runtime::HttpRequest& request,
                            const runtime::HttpResponder& responder) {
  if (sources_.api == nullptr) {
    return responder.respond(text(kNotFound,
                                  "no operator API: in this mode operators write to the source, "
                                  "which acknowledges versions\n"));
  }
  admin::AdminRequest api_request;
  api_request.method = request.method;
  api_request.path = std::string(request.path());
  api_request.bearer_token = bearerToken(request);
  api_request.body = request.body;
  sources_.api->handle(api_request, [responder](admin::AdminResponse answer) {
    responder.respond(fromApi(std::move(answer)));
  });
}

runtime::HttpResponse AdminServer::page(const runtime::HttpRequest& request) const {
  const std::string_view path = request.path();
  const bool exists = path == "/" || path == "/status" || path == "/metrics" ||
                      path == "/healthz" || path == "/readyz" || path == readiness_path_;
  if (!exists) {
    return text(kNotFound, "page not found; available: /, /metrics, /healthz, /readyz and /v1/\n");
  }
  if (request.method != "GET" && request.method != "HEAD") {
    runtime::HttpResponse response = text(kMethodNotAllowed, "only GET and HEAD are allowed\n");
    response.headers.push_back({"Allow", "GET, HEAD"});
    return response;
  }
  if (path == "/healthz") return text(kOk, "ok\n");
  if (path == "/readyz" || path == readiness_path_) return readiness();
  if (path != "/metrics") return text(kOk, sources_.status_page());
  runtime::HttpResponse response = text(kOk, sources_.metrics());
  response.content_type = kMetricsType;
  return response;
}

runtime::HttpResponse AdminServer::readiness() const {
  const std::string reason = sources_.unreadiness();
  if (reason.empty()) return text(kOk, "ready\n");
  runtime::HttpResponse response = text(kServiceUnavailable, "not ready: " + reason + "\n");
  response.headers.push_back({"Retry-After", "1"});
  return response;
}

}  // namespace coursepond::node
