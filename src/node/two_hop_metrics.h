#pragma once

/// Defines the metrics of a two-hop node and maps each component's statistics to them.

#include "admission/quota_accounts.h"
#include "admission/suspect_gossip.h"
#include "egress/egress_state.h"
#include "ingress/ingress_state.h"
#include "node/request_histograms.h"
#include "proxy/link_scheduler.h"
#include "runtime/metrics.h"
#include "source/held_state.h"
#include "source/peer_reader.h"
#include "source/relay_client.h"
#include "source/watch_loop.h"

namespace coursepond::node {

/// The clients with which a node reads one topic of its source.
struct TopicSources {
  const source::WatchLoop& watch;
  const source::RelayClient& relay;
};

/// Objects that the values are read from. All must outlive the metric table.
struct TwoHopSources {
  egress::EgressState& egress;
  ingress::IngressState& ingress;
  TopicSources servers;
  TopicSources configuration;
  const source::PeerReader& peers;
  const source::HeldState& held;
  const admission::QuotaAccounts& quotas;
  const admission::CrashSuspects& suspects;
  const admission::SuspectGossip& suspect_gossip;
  const proxy::LinkScheduler& link;
  std::function<Duration()> total_timer_delay;  ///< See AsioEnvironment.
  const RequestHistograms& histograms;
};

runtime::MetricTable makeTwoHopMetrics(const TwoHopSources& sources);

}  // namespace coursepond::node
