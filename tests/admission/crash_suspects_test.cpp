#include "admission/crash_suspects.h"

#include <doctest/doctest.h>

#include <vector>

#include "support/fingerprints.h"

namespace coursepond::admission {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(hours(10));
const RequestFingerprint kGuilty(77);
const RequestFingerprint kInnocent(78);
/// Fingerprint of the head that both requests have in common.
const RequestFingerprint kHead(70);

void endServer(CrashSuspects& suspects, ServerEndId end, std::vector<RequestFingerprint> requests,
               TimePoint now = kStart) {
  suspects.onServerEnd(end, wholeRequests(requests), now);
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

TEST_CASE("suspects are found by the head of their requests until they are cleared") {
  CrashSuspects suspects;
  const RequestFingerprints guilty{kHead, kGuilty};
  CHECK_FALSE(suspects.hasServerEnds(kHead));
  suspects.onServerEnd(1, std::vector{guilty}, kStart);
  CHECK(suspects.hasServerEnds(kHead));
  CHECK(suspects.suspectsWith(kHead).empty());
  CHECK_FALSE(suspects.mustIdentify(kHead));
  suspects.onServerEnd(2, std::vector{guilty}, kStart);
  CHECK(suspects.mustIdentify(kHead));
  CHECK_FALSE(suspects.mustIdentify(RequestFingerprint(1)));
  REQUIRE(suspects.suspectsWith(kHead).size() == 1);
  CHECK(suspects.suspectsWith(kHead)[0] == kGuilty);
  CHECK(suspects.suspectsWith(RequestFingerprint(1)).empty());
  CHECK(suspects.verdict(kInnocent, kStart) == CrashVerdict::kMayRun);
  CHECK_FALSE(suspects.onAnswered(kInnocent, kStart));
  CHECK(suspects.suspectsWith(kHead).size() == 1);
  CHECK(suspects.onAnswered(kGuilty, kStart));
  CHECK_FALSE(suspects.hasServerEnds(kHead));
  CHECK_FALSE(suspects.mustIdentify(kHead));
}

// Guards against a request that is never recognized because each of its servers ended before its
// body had been sent.
TEST_CASE("a server end of which only the head is known has the next requests identified") {
  CrashSuspects suspects;
  std::size_t verdicts = 0;
  suspects.onVerdict([&](RequestFingerprint, std::size_t) { ++verdicts; });
  for (const ServerEndId end : {1, 2}) {
    suspects.onServerEnd(end, std::vector{RequestFingerprints{kHead, {}}}, kStart);
    CHECK(suspects.mustIdentify(kHead));
  }
  CHECK(suspects.hasServerEnds(kHead));
  CHECK(suspects.suspectsWith(kHead).empty());
  CHECK(verdicts == 0);
}

// Guards against a suspect that is no longer found by its head in a rolling update: nodes of an
// earlier release pass reports on without the head.
TEST_CASE("a report without a head does not remove the head that is known") {
  CrashSuspects suspects;
  const RequestFingerprints guilty{kHead, kGuilty};
  suspects.onServerEnd(1, std::vector{guilty}, kStart);
  suspects.onServerEnd(2, std::vector{guilty}, kStart);
  SuspectReport report = suspects.reports(kStart, 1).at(0);
  report.head = {};
  report.round = 1;
  report.ends = {3, 4};
  CHECK(suspects.merge(std::vector{report}, kStart));
  CHECK(suspects.suspectsWith(kHead).size() == 1);
  // And it is added once it is known.
  CrashSuspects other;
  CHECK(other.merge(std::vector{report}, kStart));
  CHECK_FALSE(other.hasServerEnds(kHead));
  report.head = kHead;
  CHECK(other.merge(std::vector{report}, kStart));
  CHECK(other.suspectsWith(kHead).size() == 1);
}

// Guards against a crashing request that is forgotten because many others ran beside its ends.
TEST_CASE("a flood of distinct bodies at server ends does not push out a suspect") {
  CrashSuspects suspects;
  endServer(suspects, 1, {kGuilty});
  endServer(suspects, 2, {kGuilty});
  constexpr std::uint64_t kRequestsPerSecond = 60;
  constexpr std::uint64_t kSeconds = 600;
  std::uint64_t next = 1000;
  for (std::uint64_t second = 1; second <= kSeconds; ++second) {
    std::vector<RequestFingerprints> lost;
    for (std::uint64_t count = 0; count < kRequestsPerSecond; ++count) {
      lost.push_back({kHead, RequestFingerprint(++next)});
    }
    suspects.onServerEnd(second + 2, lost, kStart + seconds(second));
  }
  CHECK(suspects.verdict(kGuilty, kStart + seconds(kSeconds)) != CrashVerdict::kMayRun);
}

}  // namespace coursepond::admission
