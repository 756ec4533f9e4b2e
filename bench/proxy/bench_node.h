#pragma once

#include <memory>

#include "event_thread.h"
#include "proxy/proxy_state.h"
#include "runtime/asio_environment.h"
#include "runtime/proxy_server.h"

namespace coursepond::bench {

/// The data path of one node, with one route to one service, on its own thread.
class BenchNode {
 public:
  explicit BenchNode(const Address& backend);
  ~BenchNode();

  Address address() const { return address_; }
  double cpuSeconds() { return thread_.cpuSeconds(); }
  /// Replaces the endpoint set by one with the next generation, to simulate churn.
  void replaceEndpoints(const Address& backend, const std::string& endpoint_id);
  /// Returns the counters as text, to diagnose failed runs.
  std::string counters();

 private:
  EventThread thread_{"node"};
  std::unique_ptr<runtime::AsioEnvironment> environment_;
  std::unique_ptr<proxy::ProxyState> state_;
  std::unique_ptr<runtime::ProxyServer> server_;
  Address address_;
  std::uint64_t generation_ = 0;
};

}  // namespace coursepond::bench
