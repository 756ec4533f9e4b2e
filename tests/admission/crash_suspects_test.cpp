#include "admission/crash_suspects.h"

#include <doctest/doctest.h>

#include <vector>

namespace coursepond::admission {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(hours(10));
const RequestFingerprint kGuilty(77);
const RequestFingerprint kInnocent(78);

void endServer(CrashSuspects& suspects, ServerEndId end, std::vector<RequestFingerprint> requests,
               TimePoint now = kStart) {
  suspects.onServerEnd(end, requests, now);
}

/// Sends the reports of `from` to `to`, as in an exchange of messages. Returns whether any of them
/// changed the table of `to`.
bool sendReports(const CrashSuspects& from, CrashSuspects& to, TimePoint now = kStart) {
  std::vector<SuspectReport> reports = from.reports(now, 1000);
  for (const SuspectReport& later : from.laterRounds(to.reports(now, 1000), now)) {
    reports.push_back(later);
  }
  return to.merge(reports, now);
}

}  // namespace

TEST_CASE("one server end does not restrict a request; after the second it only runs as a trial") {
  CrashSuspects suspects;
  endServer(suspects, 1, {kGuilty, kInnocent});
  CHECK(suspects.verdict(kGuilty, kStart) == CrashVerdict::kMayRun);
  endServer(suspects, 2, {kGuilty});
  CHECK(suspects.verdict(kGuilty, kStart) == CrashVerdict::kTrialOnly);
  CHECK(suspects.verdict(kInnocent, kStart) == CrashVerdict::kMayRun);
  CHECK(suspects.statistics().server_ends == 2);
}

TEST_CASE("repeated reports of the same server end, also by other nodes, count once") {
  CrashSuspects suspects;
  endServer(suspects, 1, {kGuilty});
  endServer(suspects, 1, {kGuilty});
  CHECK(suspects.ends(kGuilty) == 1);
  CrashSuspects other;
  endServer(other, 1, {kGuilty});
  CHECK_FALSE(suspects.merge(other.changesSince(TimePoint(), kStart, 10), kStart));
  CHECK(suspects.ends(kGuilty) == 1);
}

TEST_CASE("at most two trials without an answer are allowed, ten seconds apart") {
  CrashSuspects suspects;
  endServer(suspects, 1, {kGuilty});
  endServer(suspects, 2, {kGuilty});
  suspects.onTrialFailed(kGuilty, 11, kStart);
  endServer(suspects, 3, {kGuilty});
  CHECK(suspects.verdict(kGuilty, kStart + seconds(9)) == CrashVerdict::kMayNotRun);
  CHECK(suspects.timeUntilTrial(kGuilty, kStart + seconds(9)) == seconds(1));
  const TimePoint second_trial = kStart + seconds(10);
  CHECK(suspects.verdict(kGuilty, second_trial) == CrashVerdict::kTrialOnly);
  suspects.onTrialFailed(kGuilty, 12, second_trial);
  CHECK(suspects.verdict(kGuilty, second_trial + minutes(50)) == CrashVerdict::kMayNotRun);
  CHECK_FALSE(suspects.timeUntilTrial(kGuilty, second_trial).has_value());
}

TEST_CASE(
    "a popular request gets a trial after many servers ended at once, and an answer clears it") {
  CrashSuspects suspects;
  for (ServerEndId end = 1; end <= 40; ++end) endServer(suspects, end, {kInnocent});
  CHECK(suspects.verdict(kInnocent, kStart) == CrashVerdict::kTrialOnly);
  suspects.onAnswered(kInnocent, kStart);
  CHECK(suspects.verdict(kInnocent, kStart) == CrashVerdict::kMayRun);
  CHECK(suspects.statistics().cleared == 1);
}

TEST_CASE("an answer on one node clears the request on nodes that know of more server ends") {
  CrashSuspects near;
  CrashSuspects far;
  endServer(near, 1, {kInnocent});
  endServer(near, 2, {kInnocent});
  sendReports(near, far);
  endServer(far, 3, {kInnocent});
  near.onAnswered(kInnocent, kStart);
  CHECK(sendReports(near, far));
  CHECK(far.verdict(kInnocent, kStart) == CrashVerdict::kMayRun);
  // A late report of the previous round changes nothing.
  CrashSuspects late;
  endServer(late, 4, {kInnocent});
  endServer(late, 5, {kInnocent});
  CHECK_FALSE(sendReports(late, far));
}

TEST_CASE("nodes that merge reports in any order converge, and their summaries are equal") {
  CrashSuspects first;
  CrashSuspects second;
  for (ServerEndId end = 1; end <= 9; ++end) {
    endServer(end % 2 == 0 ? first : second, end, {kGuilty, RequestFingerprint(100 + end % 3)});
  }
  second.onTrialFailed(kGuilty, 5, kStart);
  CHECK(first.summary() != second.summary());
  // A request with a single end on the first node is not a suspect there yet. The second node
  // reports it back.
  sendReports(first, second);
  sendReports(second, first);
  sendReports(first, second);
  CHECK(first.summary() == second.summary());
  CHECK(first.reports(kStart, 10) == second.reports(kStart, 10));
}

TEST_CASE("a flood of different requests is bounded and evicts those with the fewest ends") {
  CrashSuspectSettings settings;
  settings.max_records = 800;
  CrashSuspects suspects(settings);
  endServer(suspects, 1, {kGuilty});
  endServer(suspects, 2, {kGuilty});
  for (std::uint64_t number = 0; number < 10'000; ++number) {
    // All at the same time, as when they arrive in one message.
    endServer(suspects, 10 + number, {RequestFingerprint(1000 + number)});
    CHECK(suspects.size() <= 800);
  }
  CHECK(suspects.verdict(kGuilty, kStart) == CrashVerdict::kTrialOnly);
  CHECK(suspects.statistics().forgotten > 9000);
}

TEST_CASE("a suspect is kept for an hour, and its age is reported to other nodes") {
  CrashSuspects suspects;
  endServer(suspects, 1, {kGuilty});
  endServer(suspects, 2, {kGuilty});
  CrashSuspects late;
  sendReports(suspects, late, kStart + minutes(59));
  CHECK(late.ends(kGuilty) == 2);
  CHECK_FALSE(sendReports(suspects, late, kStart + minutes(61)));
  late.removeExpired(kStart + minutes(61));
  CHECK(late.size() == 0);
}

TEST_CASE(
    "the verdict listener is called when a request becomes a suspect and when it is cleared") {
  CrashSuspects suspects;
  std::vector<std::size_t> reported_ends;
  suspects.onVerdict([&](RequestFingerprint, std::size_t ends) { reported_ends.push_back(ends); });
  endServer(suspects, 1, {kInnocent});
  endServer(suspects, 2, {kInnocent});
  suspects.onAnswered(kInnocent, kStart);
  CHECK(reported_ends == std::vector<std::size_t>{2, 0});
}

}  // namespace coursepond::admission
