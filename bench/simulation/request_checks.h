#pragma once

/// Checkers of the data path: answers, "not run", at-most-once execution, leaving servers and
/// planned stops.

#include <map>
#include <optional>
#include <string>

#include "core/ids.h"
#include "support/server_notices.h"
#include "violations.h"
#include "virtual_time.h"

namespace coursepond::simulation {

using RequestId = std::string;

/// How a request ended for its caller.
enum class Conclusion {
  kAnswered,
  kRefusedNotRun,
  kUnknown,         ///< The node reported the outcome as unknown.
  kCut,             ///< The answer was truncated, and the caller could tell.
  kConnectionLost,  ///< The node crashed or ended.
  kCallerLeft,      ///< The caller left before the answer.
};

/// An answer as the caller received it.
struct ReceivedAnswer {
  RequestId answer_to;  ///< The request that the body belongs to.
  std::uint32_t chunks = 0;
};

/// Every whole answer has this many chunks.
inline constexpr std::uint32_t kAnswerChunks = 3;

struct RequestStatistics {
  std::uint64_t sent = 0;
  std::uint64_t runs = 0;
  std::map<Conclusion, std::uint64_t> conclusions;
};

class RequestChecks {
 public:
  RequestChecks(VirtualTime& time, Violations& violations) : time_(time), violations_(violations) {}

  void onSent(const RequestId& request, bool may_repeat);
  /// Called when a server began to run the request.
  void onRun(const RequestId& request, const EndpointId& server);
  void onAnswered(const RequestId& request, const ReceivedAnswer& answer);
  void onConcluded(const RequestId& request, Conclusion conclusion);
  /// Called when the deadline and a margin passed without an answer while the node was running.
  void onOverdue(const RequestId& request);
  bool concluded(const RequestId& request) const;

  /// Called when a planned stop of `node` ended while the request was in flight there.
  void onCutByPlannedStop(const RequestId& request, const NodeId& node);
  /// Called when `node` sent new work to a server that has been leaving for `since`, although the
  /// node had time to learn about it.
  void onWorkForLeavingServer(const EndpointId& server, const NodeId& node, Duration since);

  /// Called when a server reports another limit from now on; empty: none.
  void onLimit(const EndpointId& server, std::optional<double> per_second);
  /// Called when `node` received an answer of `server` with these notices.
  void onAnswerOf(const EndpointId& server, const NodeId& node, bool has_limit, bool is_leaving);
  /// Called when a server received a request that a caller sent to `node` at `sent`.
  void onReceived(const EndpointId& server, const NodeId& node, TimePoint sent);
  /// Called when `node` was started, paused or resumed.
  void onNodeDisturbed(const NodeId& node) { notices_.excuse(node.value()); }
  /// Called for faults of the network or of most nodes: requests may be delayed, and nodes may
  /// share a limit among fewer nodes than there are.
  void onMeshDisturbed(Duration length);

  const RequestStatistics& statistics() const { return statistics_; }

 private:
  /// No node is the only sender of a server here: each one learns of a changed limit with its own
  /// next answer, so that it has the contact time for that.
  static testing::NoticeBounds noticeBounds() {
    testing::NoticeBounds bounds;
    bounds.change_known = bounds.contact;
    return bounds;
  }

  struct Record {
    bool may_repeat = true;
    std::uint32_t runs = 0;
    bool told_not_run = false;
    bool concluded = false;
  };

  VirtualTime& time_;
  Violations& violations_;
  RequestStatistics statistics_;
  testing::ServerNotices notices_{noticeBounds()};
  TimePoint mesh_disturbed_until_;
  std::map<RequestId, Record> records_;
};

}  // namespace coursepond::simulation
