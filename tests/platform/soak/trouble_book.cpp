#include "trouble_book.h"

#include <algorithm>

namespace coursepond::soak {

std::size_t FaultLog::begin(const std::string& component, FaultKind kind, TimePoint now) {
  faults_.push_back({kind, now, std::nullopt});
  by_component_[component].push_back(faults_.size() - 1);
  return faults_.size() - 1;
}

void FaultLog::end(std::size_t fault, TimePoint now) { faults_.at(fault).ended = now; }

bool FaultLog::has(const std::string& component, std::optional<FaultKind> kind, TimePoint from,
                   TimePoint to) const {
  const auto found = by_component_.find(component);
  if (found == by_component_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(), [&](std::size_t number) {
    const Fault& fault = faults_[number];
    const bool is_meant = !kind || fault.kind == *kind;
    return is_meant && fault.began <= to && (!fault.ended || *fault.ended >= from);
  });
}

bool FaultLog::isFaultFree(const std::string& component, TimePoint from, TimePoint to) const {
  return !has(component, std::nullopt, from, to);
}

bool FaultLog::isFaultFreeExceptStops(const std::string& component, TimePoint from,
                                      TimePoint to) const {
  return !has(component, FaultKind::kUnplanned, from, to);
}

bool FaultLog::wasStopping(const std::string& component, TimePoint from, TimePoint to) const {
  return has(component, FaultKind::kPlannedStop, from, to);
}

}  // namespace coursepond::soak
