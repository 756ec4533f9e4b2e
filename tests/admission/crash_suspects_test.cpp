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

/// What `from` tells a node that told it what it suspects. Returns whether any of it was news.
bool tell(const CrashSuspects& from, CrashSuspects& to, TimePoint now = kStart) {
  std::vector<SuspectReport> told = from.reports(now, 1000);
  for (const SuspectReport& later : from.laterThan(to.reports(now, 1000), now)) {
    told.push_back(later);
  }
  return to.merge(told, now);
}

}  // namespace

TEST_CASE("one end holds nothing back; the second one lets trials through only") {
  CrashSuspects suspects;
  endServer(suspects, 1, {kGuilty, kInnocent});
  CHECK(suspects.verdict(kGuilty, kStart) == CrashVerdict::kMayRun);
  endServer(suspects, 2, {kGuilty});
  CHECK(suspects.verdict(kGuilty, kStart) == CrashVerdict::kTrialOnly);
  CHECK(suspects.verdict(kInnocent, kStart) == CrashVerdict::kMayRun);
  CHECK(suspects.statistics().server_ends == 2);
}

TEST_CASE("the same end told again, by whoever, counts once") {
  CrashSuspects suspects;
  endServer(suspects, 1, {kGuilty});
  endServer(suspects, 1, {kGuilty});
  CHECK(suspects.ends(kGuilty) == 1);
  CrashSuspects other;
  endServer(other, 1, {kGuilty});
  CHECK_FALSE(suspects.merge(other.news(TimePoint(), kStart, 10), kStart));
  CHECK(suspects.ends(kGuilty) == 1);
}

TEST_CASE("two trials without an answer, ten seconds apart, and then no more") {
  CrashSuspects suspects;
  endServer(suspects, 1, {kGuilty});
  endServer(suspects, 2, {kGuilty});
  suspects.onTrialFailed(kGuilty, 11, kStart);
  endServer(suspects, 3, {kGuilty});
  CHECK(suspects.verdict(kGuilty, kStart + seconds(9)) == CrashVerdict::kMayNotRun);
  CHECK(suspects.trialIn(kGuilty, kStart + seconds(9)) == seconds(1));
  const TimePoint second_trial = kStart + seconds(10);
  CHECK(suspects.verdict(kGuilty, second_trial) == CrashVerdict::kTrialOnly);
  suspects.onTrialFailed(kGuilty, 12, second_trial);
  CHECK(suspects.verdict(kGuilty, second_trial + minutes(50)) == CrashVerdict::kMayNotRun);
  CHECK_FALSE(suspects.trialIn(kGuilty, second_trial).has_value());
}

TEST_CASE(
    "many servers that go at once leave a popular request its trial, and an answer clears it") {
  CrashSuspects suspects;
  for (ServerEndId end = 1; end <= 40; ++end) endServer(suspects, end, {kInnocent});
  CHECK(suspects.verdict(kInnocent, kStart) == CrashVerdict::kTrialOnly);
  suspects.onAnswered(kInnocent, kStart);
  CHECK(suspects.verdict(kInnocent, kStart) == CrashVerdict::kMayRun);
  CHECK(suspects.statistics().cleared == 1);
}

TEST_CASE("an answer at one node clears the request at all, also where more ends were known") {
  CrashSuspects near;
  CrashSuspects far;
  endServer(near, 1, {kInnocent});
  endServer(near, 2, {kInnocent});
  tell(near, far);
  endServer(far, 3, {kInnocent});
  near.onAnswered(kInnocent, kStart);
  CHECK(tell(near, far));
  CHECK(far.verdict(kInnocent, kStart) == CrashVerdict::kMayRun);
  // What is told late of the round before changes nothing.
  CrashSuspects late;
  endServer(late, 4, {kInnocent});
  endServer(late, 5, {kInnocent});
  CHECK_FALSE(tell(late, far));
}

TEST_CASE("nodes that were told in any order hold the same, and their summaries are equal") {
  CrashSuspects first;
  CrashSuspects second;
  for (ServerEndId end = 1; end <= 9; ++end) {
    endServer(end % 2 == 0 ? first : second, end, {kGuilty, RequestFingerprint(100 + end % 3)});
  }
  second.onTrialFailed(kGuilty, 5, kStart);
  CHECK(first.summary() != second.summary());
  // One that has a single end at the first node is told back by the second.
  tell(first, second);
  tell(second, first);
  tell(first, second);
  CHECK(first.summary() == second.summary());
  CHECK(first.reports(kStart, 10) == second.reports(kStart, 10));
}

TEST_CASE("a flood of different requests is bounded, and forgets what few servers ended under") {
  CrashSuspectSettings settings;
  settings.most_records = 800;
  CrashSuspects suspects(settings);
  endServer(suspects, 1, {kGuilty});
  endServer(suspects, 2, {kGuilty});
  for (std::uint64_t number = 0; number < 10'000; ++number) {
    // All at the same moment, as when one message brings them.
    endServer(suspects, 10 + number, {RequestFingerprint(1000 + number)});
    CHECK(suspects.size() <= 800);
  }
  CHECK(suspects.verdict(kGuilty, kStart) == CrashVerdict::kTrialOnly);
  CHECK(suspects.statistics().forgotten > 9000);
}

TEST_CASE("a suspect is remembered for an hour, and told with its age") {
  CrashSuspects suspects;
  endServer(suspects, 1, {kGuilty});
  endServer(suspects, 2, {kGuilty});
  CrashSuspects late;
  tell(suspects, late, kStart + minutes(59));
  CHECK(late.ends(kGuilty) == 2);
  CHECK_FALSE(tell(suspects, late, kStart + minutes(61)));
  late.forgetOld(kStart + minutes(61));
  CHECK(late.size() == 0);
}

TEST_CASE("who listens hears when a request comes under suspicion and when it is cleared") {
  CrashSuspects suspects;
  std::vector<std::size_t> heard;
  suspects.onVerdict([&](RequestFingerprint, std::size_t ends) { heard.push_back(ends); });
  endServer(suspects, 1, {kInnocent});
  endServer(suspects, 2, {kInnocent});
  suspects.onAnswered(kInnocent, kStart);
  CHECK(heard == std::vector<std::size_t>{2, 0});
}

}  // namespace coursepond::admission
