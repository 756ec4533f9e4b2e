#include "runtime/upstream_pool.h"

#include <algorithm>

namespace coursepond::runtime {

UpstreamPool::UpstreamPool(boost::asio::io_context& context, std::shared_ptr<DeadlineWatch> watch,
                           const UpstreamPoolSettings& settings,
                           const proxy::ConnectionPolicy& policy)
    : context_(context), watch_(std::move(watch)), settings_(settings), policy_(policy) {}

UpstreamPool::~UpstreamPool() { shutDown(); }

void UpstreamPool::shutDown() {
  std::vector<ConnectionPointer> connections;
  for (const auto& [id, server] : servers_) {
    for (const auto& [raw, connection] : server.open) connections.push_back(connection);
  }
  for (const ConnectionPointer& connection : connections) {
    connection->detachOwner();
    connection->close();
  }
  servers_.clear();
}

UpstreamPool::ConnectionPointer UpstreamPool::acquire(const ServiceName& service,
                                                      const model::Endpoint& endpoint,
                                                      UpstreamUser& user) {
  Server& server = servers_[endpoint.id];
  if (ConnectionPointer kept = takeIdle(server, endpoint)) {
    ++statistics_.reuses;
    kept->assign(user);
    return kept;
  }
  if (server.open.size() >= policy_.connectionBudget(service, endpoint.id)) {
    ++statistics_.over_budget;
    return nullptr;
  }
  return open(server, service, endpoint, &user);
}

UpstreamPool::ConnectionPointer UpstreamPool::takeIdle(Server& server,
                                                       const model::Endpoint& endpoint) {
  while (!server.idle.empty()) {
    ConnectionPointer connection = std::move(server.idle.back());
    server.idle.pop_back();
    if (connection->endpoint().address == endpoint.address && connection->isFresh()) {
      return connection;
    }
    ++statistics_.closed_while_idle;
    connection->close();
  }
  return nullptr;
}

UpstreamPool::ConnectionPointer UpstreamPool::open(Server& server, const ServiceName& service,
                                                   const model::Endpoint& endpoint,
                                                   UpstreamUser* user) {
  auto connection =
      std::make_shared<UpstreamConnection>(context_, watch_, settings_.connection, statistics_,
                                           static_cast<UpstreamOwner&>(*this), service, endpoint);
  server.open.emplace(connection.get(), connection);
  connection->connect(user);
  return connection;
}

void UpstreamPool::onConnectionIdle(UpstreamConnection& connection) {
  servers_[connection.endpoint().id].idle.push_back(connection.shared_from_this());
}

void UpstreamPool::onConnectionClosed(UpstreamConnection& connection) {
  const auto found = servers_.find(connection.endpoint().id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  std::erase_if(server.idle,
                [&](const ConnectionPointer& idle) { return idle.get() == &connection; });
  server.open.erase(&connection);
}

void UpstreamPool::maintain() {
  closeUnusable();
  openWarm();
}

void UpstreamPool::closeUnusable() {
  for (auto entry = servers_.begin(); entry != servers_.end();) {
    Server& server = entry->second;
    const std::vector<ConnectionPointer> idle = server.idle;
    for (const ConnectionPointer& connection : idle) {
      if (!policy_.usable(connection->service(), connection->endpoint().id)) connection->close();
    }
    entry = server.open.empty() ? servers_.erase(entry) : std::next(entry);
  }
}

void UpstreamPool::openWarm() {
  if (settings_.warm_connections == 0) return;
  for (const proxy::WarmServer& warm : policy_.warmServers()) {
    const EndpointId& id = warm.endpoint.id;
    Server& server = servers_[id];
    const std::size_t wanted = std::min<std::size_t>(settings_.warm_connections,
                                                     policy_.connectionBudget(warm.service, id));
    while (server.open.size() < wanted) open(server, warm.service, warm.endpoint, nullptr);
  }
}

void UpstreamPool::closeIdle() {
  for (auto& [id, server] : servers_) {
    const std::vector<ConnectionPointer> idle = server.idle;
    for (const ConnectionPointer& connection : idle) connection->close();
  }
}

std::size_t UpstreamPool::connectionCount() const {
  std::size_t count = 0;
  for (const auto& [id, server] : servers_) count += server.open.size();
  return count;
}

}  // namespace coursepond::runtime
