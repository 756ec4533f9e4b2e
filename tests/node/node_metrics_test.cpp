#include "node/node_metrics.h"

#include <doctest/doctest.h>

#include <set>
#include <sstream>

#include "repository_files.h"

using namespace coursepond;
using namespace coursepond::node;

namespace {

MetricSources fixedSources() {
  MetricSources sources;
  sources.gauges = [] {
    NodeGauges gauges;
    gauges.ready = true;
    gauges.in_force = Version(7);
    gauges.roles.voter = true;
    return gauges;
  };
  sources.control = [] {
    control::ControlStatistics statistics;
    statistics.source.stale = 3;
    statistics.plans_confirmed = 2;
    return statistics;
  };
  sources.proxy = [] {
    proxy::ProxyStatistics statistics;
    statistics.refused_queue_full = 5;
    return statistics;
  };
  sources.callers = [] {
    runtime::ProxyServerStatistics statistics;
    statistics.refusals[static_cast<std::size_t>(runtime::RefusalReason::kBadHost)] = 6;
    return statistics;
  };
  sources.upstream = [] { return runtime::UpstreamStatistics(); };
  sources.peers = [] {
    runtime::PeerStatistics statistics;
    statistics.sent.count(control::MessageKind::kDistribution, 96);
    return statistics;
  };
  sources.admin = [] { return runtime::HttpServerStatistics(); };
  sources.log = [] { return LogCounters{4, 1}; };
  return sources;
}

bool containsLine(const std::string& text, const std::string& line) {
  return text.find(line + "\n") != std::string::npos;
}

}  // namespace

TEST_CASE("/metrics contains the counters of every component") {
  const std::string text = makeNodeMetrics(fixedSources()).exposition();
  CHECK(containsLine(text, "coursepond_ready 1"));
  CHECK(containsLine(text, "coursepond_configuration_version_in_force 7"));
  CHECK(containsLine(text, "coursepond_role{role=\"voter\"} 1"));
  CHECK(containsLine(text, "coursepond_role{role=\"source_reader\"} 0"));
  CHECK(containsLine(text, "coursepond_source_refused_total{reason=\"stale\"} 3"));
  CHECK(containsLine(text, "coursepond_plans_confirmed_total 2"));
  CHECK(containsLine(text, "coursepond_proxy_refused_total{reason=\"queue_full\"} 5"));
  CHECK(containsLine(text, "coursepond_caller_refused_total{reason=\"bad_host\"} 6"));
  CHECK(containsLine(text, "coursepond_peer_sent_bytes_total{kind=\"distribution\"} 100"));
  CHECK(containsLine(text, "coursepond_log_lines_suppressed_total 1"));
}

TEST_CASE("metric names are unique, and exactly the counters end in _total") {
  std::istringstream text(makeNodeMetrics(fixedSources()).exposition());
  std::set<std::string> names;
  std::string line;
  while (std::getline(text, line)) {
    if (!line.starts_with("# TYPE ")) continue;
    std::istringstream words(line.substr(7));
    std::string name;
    std::string type;
    words >> name >> type;
    CAPTURE(name);
    CHECK(names.insert(name).second);
    CHECK(name.ends_with("_total") == (type == "counter"));
  }
  CHECK(names.size() > 50);
}

TEST_CASE("the metrics page matches the metric table") {
  testing::checkPageEndsWith("docs/operators/METRICS.md", "| Metric |",
                             makeNodeMetrics(fixedSources()).reference());
}
