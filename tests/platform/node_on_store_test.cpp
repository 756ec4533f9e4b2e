// A whole node on the adapter and the stand-in store, over real sockets: what the store says is
// what requests get, and its troubles change nothing that is in force.

#include <doctest/doctest.h>

#include "node/two_hop_node.h"
#include "runtime/http_client.h"
#include "store_client.h"
#include "store_stand_in.h"
#include "support/loopback_bench.h"

namespace coursepond::platform {
namespace {

namespace asio = boost::asio;

constexpr char kIp[] = "127.0.0.1";
constexpr char kServerKey[] = "servers/i-1";

std::string configurationText(int version, const std::string& prefix) {
  return R"({"version":"r)" + std::to_string(version) + R"(","resources":[
      {"entry_type":"services","metadata":{"name":"stock"},"spec":{}},
      {"entry_type":"routes","metadata":{"name":"r"},"spec":{"host":"127.0.0.1",
       "path_prefix":")" +
         prefix + R"(","type":"safe","target_latency":"500ms","timeout":"2s","max_attempts":2,
       "service":"stock"}}]})";
}

class Bench : public testing::LoopbackBench {
 public:
  Bench() : store_(context_), server_(makeServer()) {}

  void start() {
    node::Extensions extensions;
    extensions.watch_client = [](asio::io_context& context, const Address& address) {
      return std::make_unique<StoreClient>(context, address);
    };
    auto node = node::TwoHopNode::create(context_, makeSettings(), extensions);
    REQUIRE(node.has_value());
    node_ = std::move(*node);
    node_->start();
  }

  void configure(int version, const std::string& prefix) {
    store_.put("op/config", configurationText(version, prefix));
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
  /// Whether requests for `target` come to be answered so.
  bool becomes(const std::string& target, int status) {
    return runUntil([&] { return send(target).status == status; });
  }
  StoreStandIn& store() { return store_; }
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
    settings.node.peer_listen = Address{kIp, 0};
    settings.two_hop.ingress_listen = Address{kIp, freePort()};
    settings.two_hop.server = server_->address();
    settings.two_hop.service = ServiceName("stock");
    settings.platform.address = store_.address();
    return settings;
  }

  StoreStandIn store_;
  std::unique_ptr<runtime::HttpServer> server_;
  std::unique_ptr<node::TwoHopNode> node_;
  std::size_t runs_ = 0;
};

}  // namespace

TEST_CASE(
    "what the store says is in force: a route, its change, a server that leaves and returns") {
  Bench bench;
  bench.configure(1, "/old/");
  bench.listServer("ready");
  bench.start();
  REQUIRE(bench.becomes("/old/x", 200));
  CHECK(bench.send("/old/x?y=1").body == "/old/x?y=1");

  bench.configure(3, "/new/");
  CHECK(bench.becomes("/new/x", 200));
  CHECK(bench.send("/old/x").status == 404);
  // An older version that shows up late changes nothing.
  bench.configure(2, "/old/");
  bench.listServer("draining");
  CHECK(bench.becomes("/new/x", 503));
  CHECK(bench.send("/old/x").status == 404);
  const std::size_t runs = bench.runs();
  CHECK(runtime::findHeader(bench.send("/new/x").headers, "Retry-After").has_value());
  CHECK(bench.runs() == runs);

  bench.store().remove(kServerKey);
  bench.listServer("ready");
  CHECK(bench.becomes("/new/x", 200));
}

TEST_CASE("a node that starts while the store is away says that it has not run, until it is back") {
  for (const StoreTrouble trouble :
       {StoreTrouble::kBusy, StoreTrouble::kThrottled, StoreTrouble::kReset}) {
    CAPTURE(static_cast<int>(trouble));
    Bench bench;
    bench.configure(1, "/");
    bench.listServer("ready");
    bench.store().setTrouble(trouble);
    bench.start();
    CHECK(bench.send("/x").status == 503);
    CHECK(bench.runs() == 0);
    bench.store().setTrouble(StoreTrouble::kNone);
    CHECK(bench.becomes("/x", 200));
  }
}

TEST_CASE("the store's troubles and a bad configuration change nothing that is in force") {
  Bench bench;
  bench.configure(1, "/");
  bench.listServer("ready");
  bench.start();
  REQUIRE(bench.becomes("/x", 200));
  for (const StoreTrouble trouble : {StoreTrouble::kBusy, StoreTrouble::kThrottled,
                                     StoreTrouble::kReset, StoreTrouble::kGarbled}) {
    CAPTURE(static_cast<int>(trouble));
    bench.store().setTrouble(trouble);
    const std::size_t reads = bench.store().reads();
    // A change that the trouble hides, so that the node's read comes back and meets it.
    bench.store().put("other", "");
    CHECK(bench.runUntil([&] { return bench.store().reads() > reads; }));
    CHECK(bench.send("/x").status == 200);
  }
  bench.store().setTrouble(StoreTrouble::kNone);
  bench.store().put("op/config", "{\"version\":\"r9\",\"resources\":[{}]}");
  bench.store().put("servers/i-2", "not json");
  bench.store().forgetHistory();
  const std::size_t reads = bench.store().reads();
  CHECK(bench.runUntil([&] { return bench.store().reads() > reads + 1; }));
  CHECK(bench.send("/x").status == 200);
  bench.configure(10, "/later/");
  CHECK(bench.becomes("/later/x", 200));
}

}  // namespace coursepond::platform
