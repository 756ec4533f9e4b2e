#pragma once

#include <unordered_map>

#include "core/ids.h"
#include "core/time.h"
#include "model/endpoint.h"

namespace coursepond::proxy {

/// Remembers which servers are leaving. This information comes from endpoint records and from the
/// X-Draining headers of servers, which may be outdated and arrive out of order. Therefore a mark
/// is sticky: it is only removed by a record that is newer than the mark, lists the server as live,
/// and arrives when the mark is at least `hold` old. A restarted server should be listed under a
/// new endpoint id, which has no mark.
class LeavingMarks {
 public:
  explicit LeavingMarks(Duration hold) : hold_(hold) {}

  /// Marks the server as leaving. `generation` is that of the record that says so, or of the
  /// current record when an answer of the server said so.
  void mark(const EndpointId& endpoint, Generation generation, TimePoint now);

  /// Processes one endpoint of a record. Returns whether the server is leaving.
  bool onRecord(const model::Endpoint& endpoint, Generation generation, TimePoint now);

  bool isMarked(const EndpointId& endpoint) const { return marks_.contains(endpoint); }

  /// Removes marks that are at least `hold` old and whose server is no longer listed.
  template <typename IsListed>
  void forgetUnlisted(TimePoint now, const IsListed& is_listed) {
    std::erase_if(marks_, [&](const auto& entry) {
      return now - entry.second.marked_at >= hold_ && !is_listed(entry.first);
    });
  }

 private:
  struct Mark {
    Generation generation;
    TimePoint marked_at;
  };

  Duration hold_;
  std::unordered_map<EndpointId, Mark> marks_;
};

}  // namespace coursepond::proxy
