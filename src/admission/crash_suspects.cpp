#include "admission/crash_suspects.h"

#include <algorithm>
#include <utility>

#include "core/rank.h"

namespace coursepond::admission {
namespace {

/// One end is what everything that ran at the server has: too little to hold a request back.
constexpr std::size_t kTrialFrom = 2;
/// Operators bound how often a request that is known to end servers may still reach one, trials
/// that two nodes begin at once included.
constexpr std::size_t kMostTrials = 2;
/// Ends, or trials, that are kept of a request: more make no difference.
constexpr std::size_t kMostIds = 5;
/// Of the records, the part that is forgotten at once when there are too many.
constexpr std::size_t kForgottenPart = 8;

/// All nodes keep the same ones, whatever order they learned them in.
bool addSorted(std::vector<std::uint64_t>& ids, std::uint64_t id) {
  const auto place = std::lower_bound(ids.begin(), ids.end(), id);
  if (place != ids.end() && *place == id) return false;
  if (ids.size() >= kMostIds && place == ids.end()) return false;
  ids.insert(place, id);
  if (ids.size() > kMostIds) ids.pop_back();
  return true;
}

bool addAllSorted(std::vector<std::uint64_t>& ids, const std::vector<std::uint64_t>& added) {
  bool is_news = false;
  for (const std::uint64_t id : added) is_news = addSorted(ids, id) || is_news;
  return is_news;
}

}  // namespace

bool CrashSuspects::isSuspected(const Record& record) { return record.ends.size() >= kTrialFrom; }

TimePoint CrashSuspects::trialAt(const Record& record) const {
  if (record.trials.empty()) return record.changed_at;
  if (record.trials.size() >= kMostTrials) return TimePoint::max();
  return record.changed_at + settings_.trial_pause;
}

CrashVerdict CrashSuspects::verdict(RequestFingerprint request, TimePoint now) const {
  const auto found = records_.find(request);
  if (found == records_.end() || !isSuspected(found->second)) return CrashVerdict::kMayRun;
  return now >= trialAt(found->second) ? CrashVerdict::kTrialOnly : CrashVerdict::kMayNotRun;
}

std::optional<Duration> CrashSuspects::trialIn(RequestFingerprint request, TimePoint now) const {
  const auto found = records_.find(request);
  if (found == records_.end()) return Duration(0);
  const TimePoint due = trialAt(found->second);
  if (due == TimePoint::max()) return std::nullopt;
  return std::max(Duration(0), due - now);
}

std::size_t CrashSuspects::ends(RequestFingerprint request) const {
  const auto found = records_.find(request);
  return found == records_.end() ? 0 : found->second.ends.size();
}

void CrashSuspects::onServerEnd(ServerEndId end, std::span<const RequestFingerprint> requests,
                                TimePoint now) {
  if (std::exchange(last_own_end_, end) != end) ++statistics_.server_ends;
  for (const RequestFingerprint request : requests) {
    if (!request.empty()) addEnd(request, end, now);
  }
  makeRoom();
  tellChange();
}

void CrashSuspects::addEnd(RequestFingerprint request, ServerEndId end, TimePoint now) {
  Record& record = records_[request];
  const std::size_t before = record.ends.size();
  addSorted(record.ends, end);
  record.changed_at = now;
  record.learned_at = now;
  tellVerdict(request, before, record.ends.size());
}

void CrashSuspects::onTrialFailed(RequestFingerprint request, TrialId trial, TimePoint now) {
  const auto found = records_.find(request);
  if (found == records_.end()) return;
  addSorted(found->second.trials, trial);
  found->second.changed_at = now;
  found->second.learned_at = now;
  tellChange();
}

void CrashSuspects::onAnswered(RequestFingerprint request, TimePoint now) {
  const auto found = records_.find(request);
  if (found == records_.end() || found->second.ends.empty()) return;
  Record& record = found->second;
  const std::size_t before = record.ends.size();
  ++record.round;
  record.ends.clear();
  record.trials.clear();
  record.changed_at = now;
  record.learned_at = now;
  ++statistics_.cleared;
  tellVerdict(request, before, 0);
  if (before >= kTrialFrom) tellChange();
}

bool CrashSuspects::merge(std::span<const SuspectReport> reports, TimePoint now) {
  bool is_news = false;
  for (const SuspectReport& report : reports) is_news = take(report, now) || is_news;
  if (!is_news) return false;
  makeRoom();
  tellChange();
  return true;
}

bool CrashSuspects::take(const SuspectReport& report, TimePoint now) {
  Record told;
  told.round = report.round;
  addAllSorted(told.ends, report.ends);
  addAllSorted(told.trials, report.trials);
  told.changed_at = now - std::max(report.age, Duration(0));
  told.learned_at = now;
  if (report.request.empty() || isOld(told, now)) return false;
  const auto [found, is_new] = records_.try_emplace(report.request, told);
  Record& record = found->second;
  const std::size_t ends_before = is_new ? 0 : record.ends.size();
  if (!is_new && !mergeRound(record, told)) return false;
  record.learned_at = now;
  tellVerdict(report.request, ends_before, record.ends.size());
  return true;
}

/// Returns whether `told` brought news.
bool CrashSuspects::mergeRound(Record& record, const Record& told) const {
  if (told.round < record.round) return false;
  if (told.round > record.round) {
    record = told;
    return true;
  }
  const bool has_ends = addAllSorted(record.ends, told.ends);
  const bool has_trials = addAllSorted(record.trials, told.trials);
  if (!has_ends && !has_trials) return false;
  record.changed_at = std::max(record.changed_at, told.changed_at);
  return true;
}

void CrashSuspects::tellVerdict(RequestFingerprint request, std::size_t ends_before,
                                std::size_t ends) const {
  const bool is_notable = ends >= kTrialFrom || ends_before >= kTrialFrom;
  if (on_verdict_ && is_notable && ends != ends_before) on_verdict_(request, ends);
}

std::vector<SuspectReport> CrashSuspects::reports(TimePoint now, std::size_t most) const {
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
  if (reports.size() > most) reports.resize(most);
  return reports;
}

std::vector<SuspectReport> CrashSuspects::laterThan(std::span<const SuspectReport> reports,
                                                    TimePoint now) const {
  std::vector<SuspectReport> later;
  for (const SuspectReport& report : reports) {
    const auto found = records_.find(report.request);
    const bool is_later = found != records_.end() && found->second.round > report.round;
    if (is_later) later.push_back(reportOf(report.request, found->second, now));
  }
  return later;
}

std::vector<SuspectReport> CrashSuspects::news(TimePoint since, TimePoint now,
                                               std::size_t most) const {
  std::vector<std::pair<TimePoint, SuspectReport>> found;
  for (const auto& [request, record] : records_) {
    if (record.learned_at <= since) continue;
    found.emplace_back(record.learned_at, reportOf(request, record, now));
  }
  std::sort(found.begin(), found.end(),
            [](const auto& left, const auto& right) { return left.first > right.first; });
  if (found.size() > most) found.resize(most);
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

bool CrashSuspects::isOld(const Record& record, TimePoint now) const {
  const Duration kept = record.ends.empty() ? settings_.answer_memory : settings_.memory;
  return now - record.changed_at > kept;
}

void CrashSuspects::forgetOld(TimePoint now) {
  std::erase_if(records_, [&](const auto& entry) { return isOld(entry.second, now); });
}

/// Under a flood of different requests, those that matter least go: what few servers ended under,
/// and of these what is oldest.
void CrashSuspects::makeRoom() {
  if (records_.size() <= settings_.most_records) return;
  using Rank = std::pair<std::size_t, TimePoint>;
  std::vector<Rank> ranks;
  ranks.reserve(records_.size());
  for (const auto& [request, record] : records_) {
    ranks.emplace_back(record.ends.size(), record.changed_at);
  }
  const std::size_t kept = settings_.most_records - settings_.most_records / kForgottenPart;
  std::size_t excess = records_.size() - kept;
  const auto bound = ranks.begin() + static_cast<std::ptrdiff_t>(excess);
  std::nth_element(ranks.begin(), bound, ranks.end());
  const Rank least_kept = *bound;
  statistics_.forgotten += excess;
  std::erase_if(records_, [&](const auto& entry) {
    const bool goes =
        excess > 0 && Rank(entry.second.ends.size(), entry.second.changed_at) <= least_kept;
    if (goes) --excess;
    return goes;
  });
}

}  // namespace coursepond::admission
