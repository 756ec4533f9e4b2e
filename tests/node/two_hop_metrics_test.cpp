#include "node/two_hop_metrics.h"

#include <doctest/doctest.h>

#include "repository_files.h"
#include "support/virtual_environment.h"

namespace coursepond::node {
namespace {

class NoSource final : public source::WatchClient {
 public:
  void list(Duration, source::WatchCallback) override {}
  void watch(SourceRevision, Duration, Duration, source::WatchCallback) override {}
};

/// The components of a node that was never started.
struct Parts {
  proxy::VirtualEnvironment environment;
  NoSource client;
  source::WatchSettings settings;
  proxy::RetryAccounts retries{environment};
  egress::EgressState egress{egress::Settings(), retries, environment};
  ingress::IngressState ingress{ingress::Settings(), retries, environment};
  source::WatchLoop servers_watch{settings, client, environment,
                                  [](const source::WatchBatch&, bool) {}, [](const Error&) {}};
  source::WatchLoop configuration_watch{
      settings, client, environment, [](const source::WatchBatch&, bool) {}, [](const Error&) {}};
  class NoPeers final : public source::PeerStateClient {
    void read(const std::string&, const source::StateRequest&, Duration,
              source::PeerStateCallback) override {}
  };
  NoPeers no_peers;
  source::HeldState held;
  source::RelaySettings relay_settings;
  source::RelayClient servers_relay{relay_settings, source::Topic::kServers, client, no_peers, held,
                                    environment};
  source::RelayClient configuration_relay{
      relay_settings, source::Topic::kConfiguration, client, no_peers, held, environment};
  source::PeerReader peers{
      {}, no_peers, held, environment, [](source::Topic, const source::StateUpdate&) {}};
  class NoQuotaPeers final : public admission::QuotaPeers {
    void ask(const std::string&, const admission::QuotaRequest&, Callback) override {}
  };
  NoQuotaPeers no_quota_peers;
  admission::QuotaPool pool;
  admission::QuotaAccounts quotas{pool, no_quota_peers, environment};
  class NoSuspectPeers final : public admission::SuspectPeers {
    void exchange(const std::string&, const admission::SuspectMessage&, Callback) override {}
  };
  NoSuspectPeers no_suspect_peers;
  admission::CrashSuspects suspects;
  admission::SuspectGossip suspect_gossip{suspects, no_suspect_peers, environment};
  proxy::LinkScheduler link{{}, environment};
  RequestHistograms histograms;
  runtime::MetricTable table() {
    return makeTwoHopMetrics({egress,
                              ingress,
                              {servers_watch, servers_relay},
                              {configuration_watch, configuration_relay},
                              peers,
                              held,
                              quotas,
                              suspects,
                              suspect_gossip,
                              link,
                              [] { return Duration(0); },
                              histograms});
  }
};

}  // namespace

TEST_CASE("/metrics contains the counters of each component under their names") {
  Parts parts;
  parts.egress.statistics().repeats = 7;
  parts.ingress.statistics().displaced = 3;
  parts.servers_watch.start();
  parts.configuration_watch.start();
  const std::string text = parts.table().exposition();
  CHECK(text.find("coursepond_egress_repeats_total 7") != std::string::npos);
  CHECK(text.find("coursepond_ingress_displaced_total 3") != std::string::npos);
  CHECK(text.find("coursepond_watch_lists_total 2") != std::string::npos);
}

TEST_CASE("request latency is reported by service and outcome") {
  Parts parts;
  proxy::Decision decision;
  decision.side = proxy::kEgressSide;
  decision.service = "stock";
  decision.elapsed = std::chrono::milliseconds(30);
  parts.histograms.observe(decision);
  decision.kind = proxy::DecisionKind::kAnsweredItself;
  decision.reason = "queue_full";
  parts.histograms.observe(decision);
  decision.side = proxy::kIngressSide;
  decision.inputs.queued = std::chrono::milliseconds(2);
  parts.histograms.observe(decision);
  const std::string text = parts.table().exposition();
  const std::string name = "coursepond_egress_request_seconds_";
  const std::string answered = "{service=\"stock\",outcome=\"answered\"";
  CHECK(text.find(name + "count" + answered + "} 1") != std::string::npos);
  CHECK(text.find(name + "bucket" + answered + ",le=\"0.025\"} 0") != std::string::npos);
  CHECK(text.find(name + "bucket" + answered + ",le=\"0.05\"} 1") != std::string::npos);
  CHECK(text.find(name + "sum{service=\"stock\",outcome=\"queue_full\"} 0.03") !=
        std::string::npos);
  CHECK(text.find("coursepond_ingress_queue_seconds_sum{service=\"stock\"") != std::string::npos);
}

TEST_CASE("the number of histogram series is bounded whatever service names peers send") {
  Parts parts;
  proxy::Decision decision;
  decision.side = proxy::kIngressSide;
  for (int number = 0; number < 5000; ++number) {
    const std::string service = "s" + std::to_string(number);
    decision.service = service;
    parts.histograms.observe(decision);
  }
  const std::string text = parts.table().exposition();
  CHECK(text.find("{service=\"s1999\"") != std::string::npos);
  CHECK(text.find("{service=\"s2000\"") == std::string::npos);
  CHECK(text.find("ingress_queue_seconds_count{service=\"other\",outcome=\"other\"} 3000") !=
        std::string::npos);
}

TEST_CASE("an attempt that does not end its request is not counted in the request latency") {
  Parts parts;
  proxy::Decision decision;
  decision.kind = proxy::DecisionKind::kAttemptEnded;
  decision.side = proxy::kEgressSide;
  parts.histograms.observe(decision);
  CHECK(parts.table().exposition().find("egress_request_seconds_count") == std::string::npos);
}

TEST_CASE("the two-hop metrics page matches the metric table") {
  testing::checkPageEndsWith("docs/operators/METRICS-TWO-HOP.md", "| Metric |",
                             Parts().table().reference());
}

}  // namespace coursepond::node
