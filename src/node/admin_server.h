#pragma once

/// HTTP server on a node's administration port: operator API, metrics, health checks and the
/// status page.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "admin/admin_api.h"
#include "core/address.h"
#include "runtime/http_server.h"
#include "runtime/settings.h"

namespace coursepond::node {

/// Functions and objects of the node that the server gets its content from.
struct AdminSources {
  admin::AdminApi* api = nullptr;  ///< Null in two-hop mode, where nothing is planned or confirmed.
  std::function<std::string()> metrics;
  std::function<std::string()> status_page;
  /// Returns an empty string when the node is ready for requests, otherwise the reason.
  std::function<std::string()> unreadiness;
};

class AdminServer {
 public:
  /// Fails with kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<AdminServer>> create(boost::asio::io_context& context,
                                                     const Address& listen,
                                                     const runtime::AdminSettings& settings,
                                                     AdminSources sources);

  Address address() const { return server_->address(); }
  const runtime::HttpServerStatistics& statistics() const { return server_->statistics(); }
  /// Sends large answers in turns of `link`, which must outlive the server, after all others.
  void scheduleOutput(proxy::LinkScheduler& link) {
    server_->scheduleOutput(link, TimePoint::max());
  }

 private:
  explicit AdminServer(AdminSources sources) : sources_(std::move(sources)) {}

  void handle(const runtime::HttpRequest& request, const runtime::HttpResponder& responder);
  void handleApi(const runtime::HttpRequest& request, const runtime::HttpResponder& responder);
  runtime::HttpResponse page(const runtime::HttpRequest& request) const;
  runtime::HttpResponse readiness() const;

  AdminSources sources_;
  std::string readiness_path_;
  std::unique_ptr<runtime::HttpServer> server_;
};

}  // namespace coursepond::node
