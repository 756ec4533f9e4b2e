#pragma once

/// The HTTP side of a node's administration: operator API, metrics, health and the status page.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "admin/admin_api.h"
#include "core/address.h"
#include "runtime/http_server.h"
#include "runtime/settings.h"

namespace coursepond::node {

/// What the server asks the node for.
struct AdminSources {
  admin::AdminApi* api = nullptr;  ///< Null: this mesh has nothing to plan or confirm.
  std::function<std::string()> metrics;
  std::function<std::string()> status_page;
  /// Empty when the node may get requests; else why not.
  std::function<std::string()> unreadiness;
};

class AdminServer {
 public:
  /// kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<AdminServer>> create(boost::asio::io_context& context,
                                                     const Address& listen,
                                                     const runtime::AdminSettings& settings,
                                                     AdminSources sources);

  Address address() const { return server_->address(); }
  const runtime::HttpServerStatistics& statistics() const { return server_->statistics(); }

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
