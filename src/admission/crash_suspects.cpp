#include "admission/crash_suspects.h"

#include <algorithm>
#include <utility>

#include "core/rank.h"

namespace coursepond::admission {
namespace {

/// Number of server ends from which on a request is a suspect. A single end is not enough: every
/// request that was running on that server has one.
constexpr std::size_t kMinEndsOfSuspect = 2;
/// Maximum number of trials without an answer. Operators set an upper bound for how often a request
/// that is known to crash servers may still reach one, which includes trials that two nodes start
/// at the same time.
constexpr std::size_t kMaxTrials = 2;
/// Maximum number of ends and of trials stored per request. More would not change any decision.
constexpr std::size_t kMaxIds = 5;
/// When there are too many records, one in this many is evicted at once.
constexpr std::size_t kEvictionDivisor = 8;

/// Inserts `id` and keeps the kMaxIds lowest ids, so that all nodes keep the same ones in whatever
/// order they learn them. Returns whether `ids` changed.
bool addSorted(std::vector<std::uint64_t>& ids, std::uint64_t id) {
  const auto position = std::lower_bound(ids.begin(), ids.end(), id);
  if (position != ids.end() && *position == id) return false;
  if (ids.size() >= kMaxIds && position == ids.end()) return false;
  ids.insert(position, id);
  if (ids.size() > kMaxIds) ids.pop_back();
  return true;
}

bool addAllSorted(std::vector<std::uint64_t>& ids, const std::vector<std::uint64_t>& added) {
  bool is_changed = false;
  for (const std::uint64_t id : added) is_changed = addSorted(ids, id) || is_changed;
  return is_changed;
}

}  // namespace

bool CrashSuspects::isSuspected(const Record& record) {
  return record.ends.size() >= kMinEndsOfSuspect;
}

TimePoint CrashSuspects::nextTrialAt(const Record& record) const {
  if (record.trials.empty()) return record.changed_at;
  if (record.trials.size() >= kMaxTrials) return TimePoint::max();
  return record.changed_at + settings_.trial_pause;
}

bool CrashSuspects::hasServerEnds(RequestFingerprint head) const {
  return !records_.empty() && byHead().contains(head);
}

std::span<const RequestFingerprint> CrashSuspects::suspectsWith(RequestFingerprint head) const {
  if (records_.empty()) return {};
  const auto found = byHead().find(head);
  if (found == byHead().end()) return {};
  return found->second.suspects;
}

bool CrashSuspects::mustIdentify(RequestFingerprint head) const {
  if (records_.empty()) return false;
  const auto found = byHead().find(head);
  if (found == byHead().end()) return false;
  return found->second.has_unidentified_end || !found->second.suspects.empty();
}

const CrashSuspects::HeadIndex& CrashSuspects::byHead() const {
  if (by_head_) return *by_head_;
  by_head_.emplace();
  for (const auto& [request, record] : records_) {
    if (record.ends.empty() || record.head.empty()) continue;
    HeadRecords& of_head = (*by_head_)[record.head];
    if (request == record.head) {
      of_head.has_unidentified_end = true;
    } else if (isSuspected(record)) {
      of_head.suspects.push_back(request);
    }
  }
  return *by_head_;
}

CrashVerdict CrashSuspects::verdict(RequestFingerprint request, TimePoint now) const {
  const auto found = records_.find(request);
  if (found == records_.end() || !isSuspected(found->second)) return CrashVerdict::kMayRun;
  return now >= nextTrialAt(found->second) ? CrashVerdict::kTrialOnly : CrashVerdict::kMayNotRun;
}

std::optional<Duration> CrashSuspects::timeUntilTrial(RequestFingerprint request,
                                                      TimePoint now) const {
  const auto found = records_.find(request);
  if (found == records_.end()) return Duration(0);
  const TimePoint due = nextTrialAt(found->second);
  if (due == TimePoint::max()) return std::nullopt;
  return std::max(Duration(0), due - now);
}

std::size_t CrashSuspects::ends(RequestFingerprint request) const {
  const auto found = records_.find(request);
  return found == records_.end() ? 0 : found->second.ends.size();
}

void CrashSuspects::onServerEnd(ServerEndId end, std::span<const RequestFingerprints> requests,
                                TimePoint now) {
  if (std::exchange(last_server_end_, end) != end) ++statistics_.server_ends;
  for (const RequestFingerprints& request : requests) {
    if (!request.empty()) addEnd(request, end, now);
  }
  evictExcess();
  notifyChange();
}

void CrashSuspects::addEnd(const RequestFingerprints& request, ServerEndId end, TimePoint now) {
  const RequestFingerprint key = request.narrowest();
  Record& record = records_[key];
  const std::size_t before = record.ends.size();
  addSorted(record.ends, end);
  record.head = request.head;
  record.changed_at = now;
  record.learned_at = now;
  by_head_.reset();
  notifyVerdict(key, record, before);
}

void CrashSuspects::onTrialFailed(RequestFingerprint request, TrialId trial, TimePoint now) {
  const auto found = records_.find(request);
  if (found == records_.end()) return;
  addSorted(found->second.trials, trial);
  found->second.changed_at = now;
  found->second.learned_at = now;
  by_head_.reset();
  notifyChange();
}

bool CrashSuspects::onAnswered(RequestFingerprint whole, TimePoint now) {
  const auto found = records_.find(whole);
  if (found == records_.end() || found->second.ends.empty()) return false;
  Record& record = found->second;
  const std::size_t before = record.ends.size();
  ++record.round;
  record.ends.clear();
  record.trials.clear();
  record.changed_at = now;
  record.learned_at = now;
  ++statistics_.cleared;
  by_head_.reset();
  notifyVerdict(whole, record, before);
  if (before >= kMinEndsOfSuspect) notifyChange();
  return true;
}

bool CrashSuspects::merge(std::span<const SuspectReport> reports, TimePoint now) {
  bool is_changed = false;
  for (const SuspectReport& report : reports) is_changed = mergeReport(report, now) || is_changed;
  if (!is_changed) return false;
  evictExcess();
  notifyChange();
  return true;
}

bool CrashSuspects::mergeReport(const SuspectReport& report, TimePoint now) {
  Record reported;
  reported.round = report.round;
  addAllSorted(reported.ends, report.ends);
  addAllSorted(reported.trials, report.trials);
  reported.changed_at = now - std::max(report.age, Duration(0));
  reported.learned_at = now;
  reported.head = report.head;
  if (report.request.empty() || isExpired(reported, now)) return false;
  const auto [found, is_new] = records_.try_emplace(report.request, reported);
  Record& record = found->second;
  const std::size_t ends_before = is_new ? 0 : record.ends.size();
  const RequestFingerprint known_head = record.head;
  const bool is_changed = is_new || mergeRound(record, reported);
  // Nodes of an earlier release pass reports on without the head.
  record.head = std::max(known_head, reported.head);
  by_head_.reset();
  if (!is_changed && record.head == known_head) return false;
  record.learned_at = now;
  notifyVerdict(report.request, record, ends_before);
  return true;
}

/// Returns whether `reported` changed the record.
bool CrashSuspects::mergeRound(Record& record, const Record& reported) const {
  if (reported.round < record.round) return false;
  if (reported.round > record.round) {
    record = reported;
    return true;
  }
  const bool has_ends = addAllSorted(record.ends, reported.ends);
  const bool has_trials = addAllSorted(record.trials, reported.trials);
  if (!has_ends && !has_trials) return false;
  record.changed_at = std::max(record.changed_at, reported.changed_at);
  return true;
}

void CrashSuspects::notifyVerdict(RequestFingerprint request, const Record& record,
                                  std::size_t ends_before) const {
  const bool is_identified = request != record.head;
  if (!is_identified) return;
  const std::size_t ends = record.ends.size();
  const bool is_notable = ends >= kMinEndsOfSuspect || ends_before >= kMinEndsOfSuspect;
  if (on_verdict_ && is_notable && ends != ends_before) on_verdict_(request, ends);
}

std::vector<SuspectReport> CrashSuspects::reports(TimePoint now, std::size_t limit) const {
  std::vector<SuspectReport> reports;
  for (const auto& [request, record] : records_) {
    if (!isSuspected(record)) continue;
    reports.push_back(reportOf(request, record, now));
  }
  const auto is_before = [](const SuspectReport& left, const SuspectReport& right) {
    if (left.ends.size() != right.ends.size()) return left.ends.size() > right.ends.size();
    if (left.age != right.age) return left.age < right.age;
    return left.request < right.request;
  };
  std::sort(reports.begin(), reports.end(), is_before);
  if (reports.size() > limit) reports.resize(limit);
  return reports;
}

std::vector<SuspectReport> CrashSuspects::laterRounds(std::span<const SuspectReport> reports,
                                                      TimePoint now) const {
  std::vector<SuspectReport> later;
  for (const SuspectReport& report : reports) {
    const auto found = records_.find(report.request);
    const bool is_later = found != records_.end() && found->second.round > report.round;
    if (is_later) later.push_back(reportOf(report.request, found->second, now));
  }
  return later;
}

std::vector<SuspectReport> CrashSuspects::changesSince(TimePoint since, TimePoint now,
                                                       std::size_t limit) const {
  std::vector<std::pair<TimePoint, SuspectReport>> found;
  for (const auto& [request, record] : records_) {
    if (record.learned_at <= since) continue;
    found.emplace_back(record.learned_at, reportOf(request, record, now));
  }
  std::sort(found.begin(), found.end(),
            [](const auto& left, const auto& right) { return left.first > right.first; });
  if (found.size() > limit) found.resize(limit);
  std::vector<SuspectReport> reports;
  reports.reserve(found.size());
  for (auto& [learned_at, report] : found) reports.push_back(std::move(report));
  return reports;
}

std::uint64_t CrashSuspects::summary() const {
  std::uint64_t sum = 0;
  for (const auto& [request, record] : records_) {
    if (!isSuspected(record)) continue;
    std::uint64_t value = mixBits(request.value() + record.round);
    for (const ServerEndId end : record.ends) value = mixBits(value ^ end);
    for (const TrialId trial : record.trials) value = mixBits(value + trial);
    sum += value;
  }
  return sum;
}

bool CrashSuspects::isExpired(const Record& record, TimePoint now) const {
  const Duration kept = record.ends.empty() ? settings_.answer_memory : settings_.memory;
  return now - record.changed_at > kept;
}

void CrashSuspects::removeExpired(TimePoint now) {
  const std::size_t removed =
      std::erase_if(records_, [&](const auto& entry) { return isExpired(entry.second, now); });
  if (removed > 0) by_head_.reset();
}

/// Evicts records when there are too many, as under a flood of different requests: those with the
/// fewest server ends first, and the oldest of these first.
void CrashSuspects::evictExcess() {
  if (records_.size() <= settings_.max_records) return;
  using Rank = std::pair<std::size_t, TimePoint>;
  std::vector<Rank> ranks;
  ranks.reserve(records_.size());
  for (const auto& [request, record] : records_) {
    ranks.emplace_back(record.ends.size(), record.changed_at);
  }
  const std::size_t kept = settings_.max_records - settings_.max_records / kEvictionDivisor;
  std::size_t excess = records_.size() - kept;
  const auto bound = ranks.begin() + static_cast<std::ptrdiff_t>(excess);
  std::nth_element(ranks.begin(), bound, ranks.end());
  const Rank least_kept = *bound;
  statistics_.forgotten += excess;
  by_head_.reset();
  std::erase_if(records_, [&](const auto& entry) {
    const bool is_evicted =
        excess > 0 && Rank(entry.second.ends.size(), entry.second.changed_at) <= least_kept;
    if (is_evicted) --excess;
    return is_evicted;
  });
}

}  // namespace coursepond::admission
