#pragma once

/// Failure detection inside the zone. Sends one probe per interval: first directly and, if that
/// times out, through relays.

#include <functional>
#include <map>
#include <memory>

#include "core/environment.h"
#include "membership/member_table.h"
#include "membership/messages.h"
#include "membership/settings.h"
#include "membership/timer.h"

namespace coursepond::membership {

struct MembershipStatistics;

class Prober {
 public:
  /// Callbacks into the membership of this node.
  struct Callbacks {
    /// Returns updates to piggyback on a probe or an ack to `to`.
    std::function<Updates(const NodeId& to)> updates_for;
    std::function<TableDigest()> table_digest;
    /// Called if neither the target nor a relay answered in time.
    std::function<void(const NodeId& target)> on_failure;
  };

  Prober(const MemberTable& table, const Settings& settings, Environment& environment,
         MessageSender<Message>& sender, MembershipStatistics& statistics, Callbacks callbacks);

  /// Probes the next target.
  void onTick();
  /// Answers the sender with an Ack.
  void onPing(const NodeId& from, const Ping& ping);
  /// Completes a probe of this node, or forwards the ack to the node that requested a relayed
  /// probe. Returns true if the ack answers a probe of this node.
  bool onAck(const Ack& ack);
  void onPingRequest(const NodeId& from, const PingRequest& request);

  /// Discards all pending probes, relayed ones included.
  void reset();

 private:
  struct Probe {
    Probe(Environment& environment, NodeId probed)
        : target(std::move(probed)), timer(environment) {}
    NodeId target;
    Timer timer;
    std::size_t extensions = 0;
  };
  struct Relay {
    NodeId requester;
    SequenceNumber sequence = 0;  ///< Sequence number of the PingRequest.
    TimePoint requested;
  };

  void probe(const NodeId& target);
  void probeThroughRelays(SequenceNumber sequence);
  void fail(SequenceNumber sequence);
  /// Restarts the probe's timer if the timer fired late, because then this process was slow itself.
  /// Returns false if the timer was on time or the extensions are used up.
  bool extend(Probe& probe, Duration time, std::function<void()> then) const;
  std::vector<NodeId> relaysTo(const NodeId& target);
  void forgetOldRelays();

  const MemberTable& table_;
  const Settings& settings_;
  Environment& environment_;
  MessageSender<Message>& sender_;
  MembershipStatistics& statistics_;
  Callbacks callbacks_;
  SequenceNumber last_sequence_;
  std::size_t next_target_ = 0;
  std::map<SequenceNumber, Probe> probes_;
  std::map<SequenceNumber, Relay> relays_;
};

}  // namespace coursepond::membership
