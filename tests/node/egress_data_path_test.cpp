// The egress's decisions over real connections: what it learns from the bytes that an ingress
// sends.

#include <doctest/doctest.h>

#include "egress/egress_flow.h"
#include "egress/egress_state.h"
#include "runtime/proxy_server_fixture.h"

namespace coursepond::runtime {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An egress whose servers s1 to s9 are all beside the same fake ingress.
class EgressPath {
 public:
  explicit EgressPath(RawServer::Callback on_bytes)
      : ingress(context, std::move(on_bytes)),
        retries(environment, {.burst = 100}),
        state(makeSettings(ingress.address().port), retries, environment) {
    auto snapshot = std::make_shared<model::Snapshot>();
    snapshot->version = Version(1);
    model::Route route;
    route.name = RouteName("r");
    route.match.path_prefix = "/stock";
    route.service = ServiceName("stock");
    route.repeatability = model::Repeatability::kAlways;
    route.longest_hold = seconds(2);
    route.target_latency = milliseconds(500);
    route.rank = 1;
    route.max_attempts = 2;
    snapshot->routes = {route};
    REQUIRE(state.apply(snapshot));
    std::vector<model::ServerEntry> entries;
    for (int number = 1; number <= 9; ++number) {
      model::ServerEntry entry;
      entry.id = EndpointId("s" + std::to_string(number));
      entry.service = ServiceName("stock");
      entry.address = {"127.0.0.1", 9000};
      entry.zone = ZoneId("a");
      entry.slots = 4;
      entries.push_back(entry);
    }
    state.directory().replaceAll(entries, environment.now());
    state.onDirectoryChanged();
    ProxyServerSettings settings;
    settings.answer_style = AnswerStyle::kEgress;
    settings.buffered_answer_bytes = 65536;
    ExchangeSource source;
    source.make = [this](proxy::RequestHead head, proxy::RequestIo& io) {
      return egress::makeEgressFlow(std::move(head), state, environment, io);
    };
    source.policy = &state;
    source.begin_stop = [] {};
    server =
        std::move(ProxyServer::create(context, settings, std::move(source), environment).value());
  }

  /// Sends a request and returns the answer up to the end of its head.
  std::string send(const std::string& id) {
    RawCaller caller(context, server->address().port);
    caller.send("GET /stock HTTP/1.1\r\nHost: shop\r\nX-Request-Id: " + id + "\r\n\r\n");
    caller.receives("\r\n\r\n");
    const std::string received = caller.received;
    caller.close();
    return received;
  }

  boost::asio::io_context context;
  AsioEnvironment environment{context};
  RawServer ingress;
  proxy::RetryAccounts retries;
  egress::EgressState state;
  std::unique_ptr<ProxyServer> server;

 private:
  static egress::Settings makeSettings(std::uint16_t port) {
    egress::Settings settings;
    settings.own_zone = ZoneId("a");
    settings.own_service = ServiceName("shop");
    settings.ingress_port = port;
    settings.expects_signature = true;
    return settings;
  }
};

/// Answers each whole request that has arrived on the connection.
RawServer::Callback answerEach(std::function<std::string(const std::string& id)> answer) {
  return [answer = std::move(answer)](RawServer::Connection& connection) {
    for (;;) {
      const std::size_t end = connection.received.find("\r\n\r\n");
      if (end == std::string::npos) return;
      static constexpr std::string_view kField = "X-Request-Id: ";
      const std::size_t begin = connection.received.find(kField) + kField.size();
      const std::string id =
          connection.received.substr(begin, connection.received.find("\r\n", begin) - begin);
      connection.received.erase(0, end + 4);
      connection.send(answer(id));
    }
  };
}

}  // namespace

// Guards against counting a refusal as an accepted request because its head is read before it.
TEST_CASE("refusals of full ingresses throttle requests") {
  std::size_t asked = 0;
  EgressPath path(answerEach([&asked](const std::string& id) {
    ++asked;
    return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 11\r\nX-Outcome: not-run\r\n"
           "X-Reason: queue_full\r\nRetry-After: 0.100\r\nX-Request-Id: " +
           id + "\r\n\r\nqueue_full\n";
  }));
  for (int number = 0; number < 200; ++number) {
    CHECK(path.send("r" + std::to_string(number)).starts_with("HTTP/1.1 503 "));
  }
  MESSAGE("asked ", asked, ", throttled ", path.state.statistics().throttled);
  CHECK(path.state.statistics().throttled > 100);
}

// An ingress refuses a head that it cannot read without the request's id. It is no closing refusal:
// the other ingresses would refuse it too, and so would they on a later try.
TEST_CASE("a request that an ingress cannot read is not offered to the other ingresses") {
  std::size_t asked = 0;
  EgressPath path(answerEach([&asked](const std::string&) {
    ++asked;
    return std::string(
        "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 15\r\n"
        "X-Outcome: not-run\r\nX-Reason: head_too_large\r\nConnection: close\r\n\r\n"
        "head_too_large\n");
  }));
  const std::string answer = path.send("r1");
  MESSAGE("asked ", asked, ": ", answer);
  CHECK_FALSE(answer.starts_with("HTTP/1.1 503 "));
  CHECK(asked <= 2);
}

}  // namespace coursepond::runtime
