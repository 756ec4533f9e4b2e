#pragma once

/// Monitoring of the other zones by this node. For each other zone a few nodes of this zone, chosen
/// by a stable hash, act as its gateways: they probe its contacts in turn and report to their own
/// zone. This work is spread over the nodes, so its cost per node falls as zones grow.

#include <functional>
#include <map>
#include <optional>

#include "core/environment.h"
#include "membership/member_table.h"
#include "membership/messages.h"
#include "membership/seed_book.h"
#include "membership/settings.h"
#include "membership/zone_directory.h"

namespace coursepond::membership {

class ZoneGateway {
 public:
  /// Publishes a report in this node's zone.
  using Publish = std::function<void(const ZoneReport&)>;

  ZoneGateway(const MemberTable& table, ZoneDirectory& directory, SeedBook& seeds,
              const Settings& settings, Environment& environment, MessageSender<Message>& sender,
              Publish publish);

  /// Sends the probes and reports that are due. `own` is this zone's summary.
  void onTick(const ZoneSummary& own);

  void onProbe(const NodeId& from, const ZoneProbe& probe, const ZoneSummary& own);
  /// Returns true if the answer matches the last probe of this node.
  bool onAnswer(const ZoneAnswer& answer);

  /// Called after the process was paused. Missing answers during the pause do not mean that other
  /// zones are unreachable.
  void onPause();

 private:
  /// State of this node's probes of another zone.
  struct Link {
    TimePoint created;
    std::optional<TimePoint> last_answer;
    TimePoint last_probe;
    TimePoint last_report;
    SequenceNumber sequence = 0;  ///< Of the last probe.
    bool answered = true;         ///< True if the last probe was answered.
    std::size_t next_target = 0;
    std::optional<ZoneSummary> summary;  ///< Last summary sent by the zone itself.
  };

  /// Returns the zones to send to a prober that introduces itself.
  std::vector<ZoneSummary> zonesToIntroduce(const ZoneSummary& introduced,
                                            bool prober_is_new) const;
  bool isGateway(const ZoneId& zone) const;
  bool isResponsibleFor(const ZoneId& zone) const;
  bool hasRecentAnswer(const Link& link) const;
  std::vector<NodeId> targetsIn(const ZoneId& zone, const Link& link) const;
  void probeWhenDue(const ZoneId& zone, Link& link, const ZoneSummary& own);
  void reportWhenDue(const ZoneId& zone, Link& link);
  void withdrawReport(const ZoneId& zone);
  void report(const ZoneSummary& summary, bool reachable);
  void recordSummary(const ZoneSummary& summary);
  ZoneSummary bestSummary(const ZoneId& zone, const Link& link) const;

  const MemberTable& table_;
  ZoneDirectory& directory_;
  SeedBook& seeds_;
  const Settings& settings_;
  Environment& environment_;
  MessageSender<Message>& sender_;
  Publish publish_;
  SequenceNumber last_sequence_ = 0;
  std::map<ZoneId, Link> links_;
};

}  // namespace coursepond::membership
