#include "proxy/server_limit.h"

#include <doctest/doctest.h>

#include <vector>

namespace coursepond::proxy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint at(std::int64_t ms) { return TimePoint(seconds(1000) + milliseconds(ms)); }

LimitReport limitOf(double per_second) { return {LimitReport::Kind::kLimit, per_second}; }

/// Reports the limit in an answer of a run.
LimitChange report(ServerLimit& limit, double per_second, std::int64_t ms) {
  return limit.onAnswer(limitOf(per_second), AnswerSource::kRun, at(ms), at(ms));
}

/// Returns how many requests may be sent from `from_ms` to `to_ms` if there is always one waiting.
int sendAll(ServerLimit& limit, std::int64_t from_ms, std::int64_t to_ms) {
  int sent = 0;
  for (std::int64_t ms = from_ms; ms < to_ms; ++ms) {
    while (limit.mayStart(at(ms)) && sent < 100'000) {
      limit.onStarted(at(ms));
      ++sent;
    }
  }
  return sent;
}

}  // namespace

TEST_CASE("requests are sent at the rate of the limit, also below one per second") {
  for (const double per_second : {13.4, 1.0, 0.4}) {
    CAPTURE(per_second);
    ServerLimit limit;
    CHECK(limit.mayStart(at(0)));
    CHECK(report(limit, per_second, 0) == LimitChange::kNamed);
    const int sent = sendAll(limit, 0, 60'000);
    CHECK(sent <= per_second * 60);
    CHECK(sent >= per_second * 60 - 1);
  }
}

TEST_CASE("a limit of zero still lets a request through now and then, which shows its end") {
  ServerLimit limit;
  report(limit, 0, 0);
  CHECK(sendAll(limit, 0, 8000) <= 2);
  CHECK(sendAll(limit, 8000, 20'000) >= 2);
}

TEST_CASE("after a pause only a fraction of a second's requests may be sent at once") {
  ServerLimit limit;
  report(limit, 40, 0);
  CHECK(sendAll(limit, 60'000, 60'001) == 10);
  ServerLimit low;
  report(low, 0.4, 0);
  CHECK(sendAll(low, 60'000, 60'001) == 1);
}

TEST_CASE("a changed limit holds at once and gives no extra requests") {
  ServerLimit limit;
  report(limit, 40, 0);
  CHECK(report(limit, 2, 10'000) == LimitChange::kChanged);
  CHECK(sendAll(limit, 10'000, 14'000) <= 9);
  CHECK(report(limit, 2, 14'000) == LimitChange::kNone);
}

TEST_CASE("only the answer of a run that began after the last report lifts the limit") {
  ServerLimit limit;
  report(limit, 5, 100);
  const LimitReport none;
  CHECK(limit.onAnswer(none, AnswerSource::kRun, at(50), at(200)) == LimitChange::kNone);
  CHECK(limit.onAnswer(none, AnswerSource::kRefusal, at(150), at(200)) == LimitChange::kNone);
  CHECK(limit.onAnswer(none, AnswerSource::kHealth, at(150), at(200)) == LimitChange::kNone);
  CHECK(limit.perSecond() == 5);
  CHECK(limit.onAnswer(none, AnswerSource::kRun, at(150), at(300)) == LimitChange::kLifted);
  CHECK_FALSE(limit.perSecond().has_value());
  CHECK(limit.mayStart(at(300)));
}

TEST_CASE("refusals and health checks can name a limit") {
  for (const AnswerSource source : {AnswerSource::kRefusal, AnswerSource::kHealth}) {
    ServerLimit limit;
    CHECK(limit.onAnswer(limitOf(3), source, at(0), at(0)) == LimitChange::kNamed);
    CHECK_FALSE(limit.mayStart(at(0)));
  }
}

TEST_CASE("a limit that another node knows counts only before the server's own answer") {
  ServerLimit limit;
  CHECK(limit.onTold(5, at(0)) == LimitChange::kNamed);
  CHECK(limit.onTold(9, at(10)) == LimitChange::kNone);
  CHECK(limit.perSecond() == 5);
  CHECK(limit.onAnswer({}, AnswerSource::kRun, at(20), at(30)) == LimitChange::kLifted);
  CHECK(limit.onTold(5, at(40)) == LimitChange::kNone);
  CHECK_FALSE(limit.perSecond().has_value());
  limit.reset();
  CHECK_FALSE(limit.isKnown());
}

TEST_CASE("a node that shares a server uses its share of the limit") {
  ServerLimit limit;
  limit.setShare(0.25);
  report(limit, 8, 0);
  const int sent = sendAll(limit, 0, 10'000);
  CHECK(sent >= 19);
  CHECK(sent <= 20);
}

TEST_CASE("many nodes with a share each do not send together what they did not use before") {
  constexpr int kNodes = 200;
  for (const double per_second : {13.4, 2.0, 0.4}) {
    CAPTURE(per_second);
    std::vector<ServerLimit> limits(kNodes);
    for (int node = 0; node < kNodes; ++node) {
      limits[node].setShare(1.0 / kNodes);
      limits[node].setPhase((node * 7 % kNodes) / double{kNodes});
      report(limits[node], per_second, 0);
    }
    // All have nothing to send for a while, then all have requests waiting.
    int sent = 0;
    for (ServerLimit& limit : limits) sent += sendAll(limit, 700'000, 704'000);
    CHECK(sent <= 1.5 * per_second * 4 + 5);
    CHECK(sent >= per_second * 3);
  }
}

TEST_CASE("nodes with a share send no more after a limit is lowered than the new limit allows") {
  constexpr int kNodes = 24;
  int sent = 0;
  for (int node = 0; node < kNodes; ++node) {
    ServerLimit limit;
    limit.setShare(1.0 / kNodes);
    limit.setPhase(node / double{kNodes});
    report(limit, 30, 0);
    // Most have a token that they have not used.
    sendAll(limit, 0, 5'000 + 10 * node);
    report(limit, 0.4, 6'000);
    sent += sendAll(limit, 6'000, 10'000);
  }
  CHECK(sent <= 1.5 * 0.4 * 4 + 5);
}

TEST_CASE("limits are read as decimal numbers, and anything else is unreadable") {
  CHECK(readLimit("13.4").per_second == 13.4);
  CHECK(readLimit("0").kind == LimitReport::Kind::kLimit);
  for (const char* const text : {"", "soon", "-1", "nan", "inf", "1e400", "3 a second", " 3"}) {
    CAPTURE(text);
    CHECK(readLimit(text).kind == LimitReport::Kind::kUnreadable);
  }
}

}  // namespace coursepond::proxy
