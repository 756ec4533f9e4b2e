#include "membership/prober.h"

#include <algorithm>
#include <utility>

#include "membership/membership.h"

namespace coursepond::membership {
namespace {

/// Maximum number of pending relayed probes. Bounds the memory that a flood of requests can use.
constexpr std::size_t kMaximumRelays = 256;

}  // namespace

Prober::Prober(const MemberTable& table, const Settings& settings, Environment& environment,
               MessageSender<Message>& sender, MembershipStatistics& statistics,
               Callbacks callbacks)
    : table_(table),
      settings_(settings),
      environment_(environment),
      sender_(sender),
      statistics_(statistics),
      callbacks_(std::move(callbacks)),
      last_sequence_(static_cast<SequenceNumber>(environment.random(UINT16_MAX))) {}

void Prober::onTick() {
  forgetOldRelays();
  const std::vector<NodeId>& targets = table_.probeTargets();
  if (!targets.empty()) {
    probe(targets[next_target_++ % targets.size()]);
  }
}

void Prober::onPing(const NodeId& from, const Ping& ping) {
  sender_.send(from, Ack{ping.sequence, callbacks_.table_digest(), callbacks_.updates_for(from)});
}

bool Prober::onAck(const Ack& ack) {
  const bool answers = probes_.erase(ack.sequence) > 0;
  const auto relay = relays_.find(ack.sequence);
  if (relay != relays_.end()) {
    sender_.send(relay->second.requester,
                 Ack{relay->second.sequence, callbacks_.table_digest(), {}});
    relays_.erase(relay);
  }
  return answers;
}

void Prober::onPingRequest(const NodeId& from, const PingRequest& request) {
  if (!table_.isLive(request.target) || relays_.size() >= kMaximumRelays) {
    return;
  }
  const SequenceNumber sequence = ++last_sequence_;
  relays_[sequence] = Relay{from, request.sequence, environment_.now()};
  sender_.send(request.target,
               Ping{sequence, callbacks_.table_digest(), callbacks_.updates_for(request.target)});
}

void Prober::reset() {
  probes_.clear();
  relays_.clear();
}

void Prober::probe(const NodeId& target) {
  const SequenceNumber sequence = ++last_sequence_;
  const auto [found, added] = probes_.try_emplace(sequence, environment_, target);
  found->second.timer.start(settings_.probe_timeout,
                            [this, sequence] { probeThroughRelays(sequence); });
  ++statistics_.probes_sent;
  sender_.send(target, Ping{sequence, callbacks_.table_digest(), callbacks_.updates_for(target)});
}

void Prober::probeThroughRelays(SequenceNumber sequence) {
  const auto found = probes_.find(sequence);
  if (found == probes_.end()) {
    return;
  }
  if (extend(found->second, settings_.probe_timeout,
             [this, sequence] { probeThroughRelays(sequence); })) {
    return;
  }
  for (const NodeId& relay : relaysTo(found->second.target)) {
    ++statistics_.indirect_probes_sent;
    sender_.send(relay, PingRequest{sequence, found->second.target});
  }
  found->second.timer.start(settings_.indirect_timeout, [this, sequence] { fail(sequence); });
}

void Prober::fail(SequenceNumber sequence) {
  const auto found = probes_.find(sequence);
  if (found == probes_.end()) {
    return;
  }
  if (extend(found->second, settings_.indirect_timeout, [this, sequence] { fail(sequence); })) {
    return;
  }
  const NodeId target = found->second.target;
  probes_.erase(found);
  callbacks_.on_failure(target);
}

bool Prober::extend(Probe& probe, Duration time, std::function<void()> then) const {
  if (probe.timer.lateness() <= settings_.lateness_tolerance ||
      probe.extensions >= settings_.max_extensions) {
    return false;
  }
  ++probe.extensions;
  probe.timer.start(time, std::move(then));
  return true;
}

std::vector<NodeId> Prober::relaysTo(const NodeId& target) {
  // The target's ring neighbours already have connections to it.
  std::vector<NodeId> relays = table_.neighboursOf(target);
  const std::size_t count = std::min(settings_.indirect_probes, relays.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(relays[i], relays[i + environment_.random(relays.size() - i)]);
  }
  relays.resize(count);
  return relays;
}

void Prober::forgetOldRelays() {
  const TimePoint limit = environment_.now() - settings_.probe_interval;
  std::erase_if(relays_, [limit](const auto& entry) { return entry.second.requested < limit; });
}

}  // namespace coursepond::membership
