#include "node/two_hop_metrics.h"

#include <doctest/doctest.h>

#include "repository_files.h"
#include "support/virtual_environment.h"

namespace coursepond::node {
namespace {

class NoSource final : public source::WatchClient {
 public:
  void list(Duration, source::WatchCallback) override {}
  void watch(Generation, Duration, Duration, source::WatchCallback) override {}
};

/// The parts of a node that never ran.
struct Parts {
  proxy::VirtualEnvironment environment;
  NoSource client;
  source::WatchSettings settings;
  egress::EgressState egress{egress::Settings(), environment};
  ingress::IngressState ingress{ingress::Settings(), environment};
  source::WatchLoop watch{settings, client, environment, [](const source::WatchBatch&, bool) {},
                          [](const Error&) {}};
  class NoPeers final : public source::PeerStateClient {
    void read(const std::string&, Generation, Duration, source::PeerStateCallback) override {}
  };
  NoPeers no_peers;
  source::PeerReader peers{{}, no_peers, environment, [](const source::SharedState&) {}};
  runtime::MetricTable table() { return makeTwoHopMetrics({egress, ingress, watch, peers}); }
};

}  // namespace

TEST_CASE("the counters of each part are told under their names") {
  Parts parts;
  parts.egress.statistics().repeats = 7;
  parts.ingress.statistics().displaced = 3;
  parts.watch.start();
  const std::string text = parts.table().exposition();
  CHECK(text.find("coursepond_egress_repeats_total 7") != std::string::npos);
  CHECK(text.find("coursepond_ingress_displaced_total 3") != std::string::npos);
  CHECK(text.find("coursepond_watch_lists_total 1") != std::string::npos);
}

TEST_CASE("the page of two-hop metrics holds exactly the table of metrics") {
  testing::checkPageEndsWith("docs/operators/METRICS-TWO-HOP.md", "| Metric |",
                             Parts().table().reference());
}

}  // namespace coursepond::node
