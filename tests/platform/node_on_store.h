#pragma once

/// Runs a whole node with the platform's adapter against the stand-in store, over real sockets.

#include <memory>
#include <string>

#include "node/two_hop_node.h"
#include "runtime/http_client.h"
#include "store_client.h"
#include "store_stand_in.h"
#include "support/limited_link.h"
#include "support/loopback_bench.h"

namespace coursepond::platform {

inline constexpr char kIp[] = "127.0.0.1";
/// Bytes per second of a link that does not limit the traffic.
inline constexpr std::uint64_t kFastLink = std::uint64_t{1} << 30;
inline constexpr char kServerKey[] = "servers/i-1";

inline std::string routeText(const std::string& name, const std::string& prefix) {
  return R"({"entry_type":"routes","metadata":{"name":")" + name +
         R"("},"spec":{"host":"127.0.0.1","path_prefix":")" + prefix +
         R"(","type":"safe","target_latency":"500ms","timeout":"2s","max_attempts":2,)" +
         R"("service":"stock"}})";
}

/// Returns a configuration with one route for requests, and with `more_routes` that only make it
/// larger, by about 150 bytes each.
inline std::string configurationText(int version, const std::string& prefix,
                                     std::size_t more_routes = 0) {
  std::string text = R"({"version":"r)" + std::to_string(version) +
                     R"(","resources":[{"entry_type":"services","metadata":{"name":"stock"},)" +
                     R"("spec":{}},)" + routeText("r", prefix);
  for (std::size_t index = 0; index < more_routes; ++index) {
    const std::string name = "more-" + std::to_string(index);
    text += "," + routeText(name, "/" + name + "/");
  }
  return text + "]}";
}

class NodeOnStore : public testing::LoopbackBench {
 public:
  /// `link_bytes`: rate limit of the link from the store, in bytes per second.
  explicit NodeOnStore(std::uint64_t link_bytes = kFastLink)
      : store_(context_), link_(context_, store_.address(), link_bytes), server_(makeServer()) {}

  void start() {
    node::Extensions extensions;
    extensions.watch_client = [](boost::asio::io_context& context, const Address& address,
                                 source::Topic topic, const source::RelaySettings& relay) {
      return std::make_unique<StoreClient>(context, address, topic, relay);
    };
    auto node = node::TwoHopNode::create(context_, makeSettings(), extensions);
    REQUIRE(node.has_value());
    node_ = std::move(*node);
    node_->start();
  }

  void configure(int version, const std::string& prefix, std::size_t more_routes = 0) {
    store_.put("op/config", configurationText(version, prefix, more_routes));
  }
  void listServer(const std::string& state) {
    store_.put(kServerKey, R"({"service":"stock","zone":"a","slots":4,"address":")" +
                               formatAddress(server_->address()) + R"(","state":")" + state +
                               R"("})");
  }

  runtime::HttpClientResponse send(const std::string& target) {
    runtime::HttpClientRequest request;
    request.target = target;
    request.headers = {{"X-Request-Id", "id-1"}};
    return call(node_->addresses().caller, std::move(request));
  }
  /// Returns whether requests for `target` are answered with `status` before the time limit.
  bool becomes(const std::string& target, int status) {
    return runUntil([&] { return send(target).status == status; });
  }
  /// The address for requests of other nodes.
  Address peerAddress() const { return Address{kIp, peer_port_}; }
  StoreStandIn& store() { return store_; }
  testing::LimitedLink& link() { return link_; }
  std::size_t runs() const { return runs_; }

 private:
  std::unique_ptr<runtime::HttpServer> makeServer() {
    return std::move(*runtime::HttpServer::create(
        context_, Address{kIp, 0}, {},
        [this](const runtime::HttpRequest& request, const runtime::HttpResponder& responder) {
          ++runs_;
          runtime::HttpResponse response;
          response.headers.push_back({"X-Request-Id", "id-1"});
          response.body = request.target;
          responder.respond(std::move(response));
        }));
  }

  runtime::Settings makeSettings() {
    runtime::Settings settings;
    settings.node.id = NodeId("a1");
    settings.node.zone = ZoneId("a");
    settings.node.caller_listen = Address{kIp, 0};
    settings.node.admin_listen = Address{kIp, 0};
    settings.node.peer_listen = peerAddress();
    settings.two_hop.ingress_listen = Address{kIp, freePort()};
    settings.two_hop.server = server_->address();
    settings.two_hop.service = ServiceName("stock");
    settings.platform.address = link_.address();
    return settings;
  }

  std::uint16_t peer_port_ = freePort();
  StoreStandIn store_;
  testing::LimitedLink link_;
  std::unique_ptr<runtime::HttpServer> server_;
  std::unique_ptr<node::TwoHopNode> node_;
  std::size_t runs_ = 0;
};

}  // namespace coursepond::platform
