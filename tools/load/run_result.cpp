#include "run_result.h"

#include <algorithm>

namespace coursepond::load {

std::uint64_t RunResult::count(Outcome outcome) const {
  const auto matches = [outcome](const RequestRecord& record) { return record.outcome == outcome; };
  return static_cast<std::uint64_t>(std::count_if(records.begin(), records.end(), matches));
}

void RunResult::merge(RunResult other) {
  records.insert(records.end(), other.records.begin(), other.records.end());
  for (const auto& [outcome, counts] : other.reasons) {
    for (const auto& [reason, number] : counts) reasons[outcome][reason] += number;
  }
  answered_latency.merge(other.answered_latency);
  other_latency.merge(other.other_latency);
  for (const auto& [target, seen] : other.versions) {
    const auto [entry, is_new] = versions.try_emplace(target, seen);
    if (is_new) continue;
    entry->second.lowest = std::min(entry->second.lowest, seen.lowest);
    entry->second.highest = std::max(entry->second.highest, seen.highest);
  }
  version_regressions += other.version_regressions;
  connections_opened += other.connections_opened;
  failovers += other.failovers;
}

std::string makeRequestId(const std::string& prefix, std::uint64_t number) {
  return prefix + "-" + std::to_string(number);
}

}  // namespace coursepond::load
