#include "proxy/leaving_marks.h"

#include <algorithm>

namespace coursepond::proxy {

void LeavingMarks::mark(const EndpointId& endpoint, Generation generation, TimePoint now) {
  Mark& mark = marks_[endpoint];
  mark.generation = std::max(mark.generation, generation);
  mark.marked_at = now;
}

bool LeavingMarks::onRecord(const model::Endpoint& endpoint, Generation generation, TimePoint now) {
  if (endpoint.state == model::MachineState::kLeaving) {
    mark(endpoint.id, generation, now);
    return true;
  }
  const auto found = marks_.find(endpoint.id);
  if (found == marks_.end()) return false;
  const bool is_newer = generation > found->second.generation;
  const bool is_held = now - found->second.marked_at < hold_;
  if (!is_newer || is_held) return true;
  marks_.erase(found);
  return false;
}

}  // namespace coursepond::proxy
