#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include "answer_body.h"
#include "core/http_headers.h"
#include "http_server.h"
#include "latency_histogram.h"
#include "load_run.h"
#include "outcome.h"
#include "request_mix.h"
#include "runtime/asio_environment.h"
#include "verification.h"

namespace coursepond::load {

namespace {

using std::chrono::milliseconds;

Classification classifyStatus(unsigned status, const char* outcome) {
  Answer answer;
  answer.status = status;
  answer.outcome = outcome;
  return classify({}, "a", ExchangeEnd::kAnswer, answer);
}

Classification classifyBody(const std::string& id, const std::string& body) {
  RequestKind kind;
  kind.answer_bytes = 50;
  Answer answer;
  answer.status = 200;
  answer.request_id = id;
  answer.body = body;
  return classify(kind, "a", ExchangeEnd::kAnswer, answer);
}

}  // namespace

TEST_CASE("percentiles are at most one bucket above the true value") {
  LatencyHistogram histogram;
  for (int value = 1; value <= 100000; ++value) histogram.record(Duration(value));
  CHECK(histogram.count() == 100000);
  CHECK(histogram.max() == Duration(100000));
  for (const double quantile : {0.001, 0.5, 0.9, 0.99, 0.999, 1.0}) {
    const double value = quantile * 100000;
    const auto percentile = static_cast<double>(histogram.percentile(quantile).count());
    CHECK(percentile >= value);
    CHECK(percentile <= value * 1.016 + 1);
  }
  LatencyHistogram other;
  other.record(Duration(std::int64_t{1} << 40));
  other.record(Duration(-5));
  other.merge(histogram);
  CHECK(other.count() == 100002);
  CHECK(other.percentile(1.0) == Duration(std::int64_t{1} << 40));
  CHECK(LatencyHistogram().percentile(0.5) == Duration::zero());
}

TEST_CASE("request kinds are parsed, and a mix follows its weights") {
  const auto lookup = parseRequestKind("3 GET freight.example /corridor?size=70&x=1", 200);
  REQUIRE(lookup.has_value());
  CHECK(lookup->answer_bytes == 70);
  CHECK(lookup->repeatable);
  const auto booking = parseRequestKind("1 POST freight.example /booking?xsize=1", 200);
  REQUIRE(booking.has_value());
  CHECK(booking->target == "/booking?xsize=1&size=200");
  CHECK_FALSE(booking->repeatable);
  CHECK_FALSE(parseRequestKind("1 GET h /x once", 1)->repeatable);
  for (const char* wrong : {"", "GET h /x", "1 GET h x", "1 GET h /x twice", "1 GET h /?size=x"}) {
    CHECK_FALSE(parseRequestKind(wrong, 1).has_value());
  }
  const RequestMix mix({*lookup, *booking});
  int bookings = 0;
  for (std::uint64_t number = 0; number < 10000; ++number) {
    if (!mix.kindOf(number).repeatable) ++bookings;
  }
  CHECK(bookings > 2300);
  CHECK(bookings < 2700);
}

TEST_CASE("an answer is classified by its request id, body and outcome header") {
  CHECK(classifyBody("a", standin::makeAnswerBody("a", 50)).outcome == Outcome::kAnswered);
  CHECK(classifyBody("a", standin::makeAnswerBody("a", 49)).outcome == Outcome::kShort);
  CHECK(classifyBody("a", standin::makeAnswerBody("b", 50)).outcome == Outcome::kMixedUp);
  CHECK(classifyBody("b", standin::makeAnswerBody("a", 50)).outcome == Outcome::kMixedUp);
  CHECK(classifyStatus(503, http_headers::kOutcomeNotRun).outcome == Outcome::kNotRun);
  CHECK(classifyStatus(502, http_headers::kOutcomeUnknown).outcome == Outcome::kUnknown);
  CHECK(classifyStatus(500, "").outcome == Outcome::kUnknown);
  CHECK(classify({}, "a", ExchangeEnd::kCutAnswer, {}).outcome == Outcome::kCut);
  CHECK(classify({}, "a", ExchangeEnd::kTimeout, {}).outcome == Outcome::kNoAnswer);
  CHECK(classify({}, "a", ExchangeEnd::kConnectFailed, {}).outcome == Outcome::kNotSent);
}

TEST_CASE("every violated guarantee is detected from the outcomes and the journals") {
  RunResult result;
  result.records = {
      {0, Outcome::kAnswered, true}, {1, Outcome::kAnswered, true}, {2, Outcome::kNotRun, true},
      {3, Outcome::kUnknown, false}, {4, Outcome::kUnknown, true},  {5, Outcome::kMixedUp, true},
      {6, Outcome::kShort, true},    {7, Outcome::kNotRun, true},   {8, Outcome::kAnswered, false}};
  const standin::JournalEntries journal{{"p-0", {1, 1, 0, 0}}, {"p-2", {1, 0, 1, 0}},
                                        {"p-3", {2, 1, 0, 0}}, {"p-4", {2, 1, 0, 0}},
                                        {"p-7", {0, 0, 0, 2}}, {"p-8", {1, 1, 0, 0}}};
  const Verification found = verify(result, "p", &journal);
  CHECK(found.lost == 1);
  CHECK(found.not_run_ran == 1);
  CHECK(found.doubled == 1);
  CHECK(found.mixed_up == 1);
  CHECK(found.short_answers == 1);
  CHECK(found.violations() == 5);
  CHECK(found.examples.size() == 5);
  CHECK(verify(result, "p", nullptr).violations() == 2);
}

TEST_CASE("a run sends its whole schedule, fails over and includes stalls in the latency") {
  boost::asio::io_context context;
  runtime::AsioEnvironment environment(context);
  std::uint64_t handled = 0;
  const auto answer = [&](const std::shared_ptr<standin::HttpExchange>& exchange) {
    const std::string id(exchange->request().header(http_headers::kRequestId));
    standin::HttpReply reply;
    reply.headers = {{http_headers::kRequestId, id}, {http_headers::kConfigurationVersion, "3"}};
    reply.body = standin::makeAnswerBody(id, 20);
    ++handled;
    const Duration stall = handled == 1 ? milliseconds(100) : milliseconds(0);
    environment.schedule(stall, [exchange, reply] { exchange->reply(reply); });
  };
  standin::HttpServer server(context, {.listen = {"127.0.0.1", 0}}, answer, answer);
  const Address address = *server.start();
  LoadOptions options;
  options.targets = {address, {"127.0.0.1", 1}};
  options.kinds = {*parseRequestKind("1 GET h /x", 20)};
  options.rate = 1000;
  options.duration = milliseconds(100);
  options.connections_per_target = 1;
  LoadRun run(context, environment, options, 0);
  run.start(environment.now());
  while (handled < 100) context.run_one();
  server.closeAfterReplies();
  server.stop();
  context.run();
  const RunResult result = run.takeResult();
  CHECK(result.records.size() == 100);
  CHECK(result.count(Outcome::kAnswered) == 100);
  CHECK(result.failovers == 50);
  CHECK(result.versions.at(formatAddress(address)).highest == Version(3));
  // The only connection stalls until at least 100 ms, so request number N waits for at least
  // 100 - N ms, and half of all requests wait for 50 ms or more.
  CHECK(result.answered_latency.percentile(0.51) >= milliseconds(50));
  CHECK(result.answered_latency.max() >= milliseconds(100));
}

}  // namespace coursepond::load
