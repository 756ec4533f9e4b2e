#pragma once

/// A pool of connections to servers with a bounded number per server. The most recently used
/// connection is reused first, so that surplus ones reach their idle timeout and are closed.

#include <memory>
#include <unordered_map>
#include <vector>

#include "proxy/connection_policy.h"
#include "runtime/upstream_connection.h"

namespace coursepond::runtime {

struct UpstreamPoolSettings {
  UpstreamSettings connection;
  /// Number of idle connections kept open to each usable server, within its connection budget.
  std::uint32_t warm_connections = 1;
  /// How often missing warm connections are opened and those to unusable servers are closed.
  Duration maintenance_interval = std::chrono::milliseconds(500);
};

class UpstreamPool final : private UpstreamOwner {
 public:
  /// `context` and `policy` must outlive the pool.
  UpstreamPool(boost::asio::io_context& context, std::shared_ptr<DeadlineWatch> watch,
               const UpstreamPoolSettings& settings, const proxy::ConnectionPolicy& policy);
  ~UpstreamPool() override;
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// Returns a connection for one request of `user`: an idle one that is ready, or a new one that
  /// is being connected. Null when the server's connection budget is used up.
  std::shared_ptr<UpstreamConnection> acquire(const ServiceName& service,
                                              const model::Endpoint& endpoint, UpstreamUser& user);

  /// Opens missing warm connections and closes idle ones to servers that are no longer usable.
  void maintain();
  void closeIdle();
  /// Closes all connections without notifying their users.
  void shutDown();

  const UpstreamStatistics& statistics() const { return statistics_; }
  std::size_t connectionCount() const;

 private:
  using ConnectionPointer = std::shared_ptr<UpstreamConnection>;

  /// The connections to one server.
  struct Server {
    std::vector<ConnectionPointer> idle;
    std::unordered_map<UpstreamConnection*, ConnectionPointer> open;
  };

  void onConnectionIdle(UpstreamConnection& connection) override;
  void onConnectionClosed(UpstreamConnection& connection) override;
  ConnectionPointer takeIdle(Server& server, const model::Endpoint& endpoint);
  ConnectionPointer open(Server& server, const ServiceName& service,
                         const model::Endpoint& endpoint, UpstreamUser* user);
  void openWarm();
  void closeUnusable();

  boost::asio::io_context& context_;
  std::shared_ptr<DeadlineWatch> watch_;
  UpstreamPoolSettings settings_;
  const proxy::ConnectionPolicy& policy_;
  UpstreamStatistics statistics_;
  std::unordered_map<EndpointId, Server> servers_;
};

}  // namespace coursepond::runtime
