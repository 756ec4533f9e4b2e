#include "backend.h"

#include <doctest/doctest.h>

#include <memory>

#include "answer_body.h"
#include "core/http_headers.h"
#include "standin/fakes.h"

namespace coursepond::standin {

namespace {

using std::chrono::milliseconds;

struct Fixture {
  explicit Fixture(BackendOptions options = {}) : backend(environment, options, journal) {}

  std::shared_ptr<FakeExchange> send(const std::string& id, const std::string& query = "",
                                     const std::string& deadline = "") {
    HttpRequest request{"GET", "/work", query, {{http_headers::kRequestId, id}}, ""};
    if (!deadline.empty()) request.headers.push_back({http_headers::kDeadlineMs, deadline});
    const auto exchange = std::make_shared<FakeExchange>(request);
    backend.handle(exchange);
    return exchange;
  }

  FakeEnvironment environment;
  Journal journal;
  Backend backend;
};

BackendOptions oneSlot(std::uint32_t queue_limit) {
  BackendOptions options;
  options.slots = 1;
  options.queue_limit = queue_limit;
  return options;
}

}  // namespace

TEST_CASE("work takes the service time and the answer carries the body of its request") {
  Fixture fixture;
  const auto exchange = fixture.send("a", "size=1000&chunked=1&echo=x-request-id");
  fixture.environment.advance(milliseconds(4));
  CHECK_FALSE(exchange->sent);
  fixture.environment.advance(milliseconds(1));
  REQUIRE(exchange->sent);
  CHECK(exchange->sent->chunked);
  CHECK(replyHeader(*exchange->sent, "X-Echo") == "a");
  CHECK(replyHeader(*exchange->sent, http_headers::kRequestId) == "a");
  CHECK(checkAnswerBody("a", 1000, exchange->sent->body) == AnswerBodyCheck::kRight);
  CHECK(checkAnswerBody("b", 1000, exchange->sent->body) == AnswerBodyCheck::kForeign);
  CHECK(checkAnswerBody("a", 1001, exchange->sent->body) == AnswerBodyCheck::kShort);
  CHECK(fixture.journal.entries().at("a") == JournalEntry{1, 1, 0, 0});
}

TEST_CASE("work is refused and does not run when all slots and the queue are full") {
  Fixture fixture(oneSlot(1));
  const auto first = fixture.send("a");
  const auto second = fixture.send("b");
  const auto third = fixture.send("c");
  REQUIRE(third->sent);
  CHECK(third->sent->status == 503);
  CHECK(replyHeader(*third->sent, http_headers::kOutcome) == http_headers::kOutcomeNotRun);
  CHECK(replyHeader(*third->sent, "Retry-After") == "1");
  CHECK(replyHeader(*third->sent, http_headers::kLoad) == "2/1");
  fixture.environment.advance(milliseconds(10));
  CHECK(first->sent);
  CHECK(second->sent);
  CHECK(fixture.journal.entries().at("c") == JournalEntry{0, 0, 0, 1});
}

TEST_CASE("a disconnected client cancels its running work and frees the slot") {
  Fixture fixture(oneSlot(1));
  const auto first = fixture.send("a");
  const auto second = fixture.send("b");
  first->disconnect();
  CHECK(fixture.journal.entries().at("a") == JournalEntry{1, 0, 1, 0});
  fixture.environment.advance(milliseconds(5));
  CHECK(second->sent);
  CHECK(fixture.backend.counts().cancelled == 1);
}

TEST_CASE("a deadline refuses queued work and stops running work") {
  Fixture fixture(oneSlot(1));
  const auto running = fixture.send("running", "time_ms=50", "20");
  const auto queued = fixture.send("queued", "", "10");
  const auto late = fixture.send("late", "", "0");
  REQUIRE(late->sent);
  CHECK(replyHeader(*late->sent, http_headers::kOutcome) == http_headers::kOutcomeNotRun);
  fixture.environment.advance(milliseconds(10));
  REQUIRE(queued->sent);
  CHECK(replyHeader(*queued->sent, http_headers::kOutcome) == http_headers::kOutcomeNotRun);
  CHECK(fixture.journal.entries().at("queued").started == 0);
  fixture.environment.advance(milliseconds(10));
  REQUIRE(running->sent);
  CHECK(replyHeader(*running->sent, http_headers::kOutcome) == http_headers::kOutcomeUnknown);
  CHECK(fixture.journal.entries().at("running") == JournalEntry{1, 0, 1, 0});
}

TEST_CASE("a drain refuses new work, completes admitted work and then calls back") {
  Fixture fixture;
  const auto before = fixture.send("before");
  bool drained = false;
  fixture.backend.drain([&] { drained = true; });
  const auto after = fixture.send("after");
  REQUIRE(after->sent);
  CHECK(replyHeader(*after->sent, http_headers::kDraining) == "1");
  CHECK(replyHeader(*after->sent, http_headers::kOutcome) == http_headers::kOutcomeNotRun);
  CHECK_FALSE(drained);
  fixture.environment.advance(milliseconds(5));
  REQUIRE(before->sent);
  CHECK(replyHeader(*before->sent, http_headers::kDraining) == "1");
  CHECK(drained);
}

TEST_CASE("work is slower during the cold start") {
  BackendOptions options;
  options.cold_start = milliseconds(100);
  Fixture fixture(options);
  const auto cold = fixture.send("cold");
  fixture.environment.advance(milliseconds(19));
  CHECK_FALSE(cold->sent);
  fixture.environment.advance(milliseconds(81));
  CHECK(cold->sent);
  const auto warm = fixture.send("warm");
  fixture.environment.advance(milliseconds(5));
  CHECK(warm->sent);
}

TEST_CASE("load reports are stale or false and answers are cut when so configured") {
  Fixture fixture;
  const auto set_behaviour = [&](const std::string& body) {
    const auto exchange =
        std::make_shared<FakeExchange>(HttpRequest{"POST", "/control/behaviour", "", {}, body});
    fixture.backend.handle(exchange);
    return exchange->sent->status;
  };
  CHECK(set_behaviour(R"({"load_lag_ms": 1000})") == 200);
  fixture.send("a");
  const auto lagging = fixture.send("b");
  fixture.environment.advance(milliseconds(5));
  CHECK(replyHeader(*lagging->sent, http_headers::kLoad) == "0/10");
  CHECK(set_behaviour(R"({"load_lie": "0/99", "fault": "cut"})") == 200);
  const auto lying = fixture.send("c", "size=100");
  fixture.environment.advance(milliseconds(5));
  CHECK(replyHeader(*lying->sent, http_headers::kLoad) == "0/99");
  CHECK(lying->sent->fault == BodyFault::kCut);
  CHECK(lying->sent->fault_after == 50);
  CHECK(set_behaviour(R"({"fault": "nonsense"})") == 400);
  CHECK(set_behaviour("[") == 400);
}

TEST_CASE("journals are parsed from their JSON text and from their lines") {
  Fixture fixture;
  fixture.send("a");
  fixture.environment.advance(milliseconds(5));
  JournalEntries entries;
  REQUIRE(mergeJournalText(fixture.journal.format(), entries).has_value());
  REQUIRE(mergeJournalLines("S a\nC a\nR b\nS unfini", entries).has_value());
  CHECK(entries.at("a") == JournalEntry{2, 2, 0, 0});
  CHECK(entries.at("b") == JournalEntry{0, 0, 0, 1});
  CHECK_FALSE(entries.contains("unfini"));
  CHECK_FALSE(mergeJournalText("{", entries).has_value());
  CHECK_FALSE(mergeJournalLines("? a\n", entries).has_value());
}

}  // namespace coursepond::standin
