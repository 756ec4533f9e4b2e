#pragma once

/// Decides at which server a request with a large answer runs, by the backlog of the links that its
/// answer would cross.
///
/// The machine beside the server sends the answer to this egress, and this egress sends it to the
/// caller. If the server is on this machine, the answer crosses one link instead of two. An answer
/// from another zone causes traffic between zones in proportion to its size. So the request goes to
/// the server of this machine, then to the own zone, then to other zones, as long as the links
/// there can send the answer in time. Within a zone, the cheapest server of a random sample is
/// taken, as for other requests (EgressState::pick()), and a backlog adds to its cost.
///
/// The backlog is known from load reports, which each answer of an ingress carries. A report loses
/// weight with age in favor of the average of the service, and old reports lose all weight, so that
/// servers that get no requests are tried again. If the reports say that
/// no server can send the answer in time, the request is refused at once.

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "core/time.h"
#include "egress/large_placement_settings.h"
#include "egress/server_directory.h"

namespace coursepond::egress {

using ServerPointers = std::vector<const ServerPointer*>;

/// A request whose answer is expected to be large.
struct LargeRequest {
  Duration target{};   ///< Target latency.
  Duration sending{};  ///< How long a link needs for the answer.
};

/// The average reported backlog of the links of one service. Newer reports have more weight, and
/// without recent ones it approaches zero.
class UsualBacklog {
 public:
  void add(const LargePlacementSettings& settings, const Server& server, TimePoint now);
  Duration value() const;

 private:
  double weighted_ = 0;  ///< Sum of the weighted backlogs in microseconds.
  double weights_ = 0;
};

/// The servers that may run the request, without those that refused it.
struct LargeCandidates {
  const Server* own_machine = nullptr;  ///< Null: none. Also contained in `own_zone`.
  Duration own_backlog{};               ///< Of this machine's link, known without a report.
  Duration usual_backlog{};             ///< Of the service's links; see UsualBacklog.
  ServerPointers own_zone;
  ServerPointers other_zones;
};

struct LargePlacement {
  ServerPointer server;  ///< Null: there is none, or none can send the answer in time.
  /// Time until the first server can send the answer in time; set if there are servers, and none
  /// can do so now.
  std::optional<Duration> retry_after;
};

/// Returns the estimated backlog of the link beside `server`: the reported one, which approaches
/// `usual` as the report ages, and what the link has yet to send of the answers that this egress
/// has requested since. Zero if none was ever reported and none requested.
Duration estimatedBacklog(const LargePlacementSettings& settings, const Server& server,
                          Duration usual, TimePoint now);

using ExtraCost = std::function<double(const Server&)>;
using CheapestOf = std::function<ServerPointer(ServerPointers& servers, const ExtraCost&)>;

/// `cheapest` returns the cheapest of a random sample of servers, with the additional cost of each.
/// It gets at least one server.
LargePlacement placeLarge(const LargePlacementSettings& settings, const LargeRequest& request,
                          const LargeCandidates& candidates, TimePoint now,
                          const CheapestOf& cheapest);

}  // namespace coursepond::egress
