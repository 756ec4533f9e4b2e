// Random sequences of events, with invariants checked for every request.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <sstream>

#include "proxy_fixture.h"

namespace coursepond::proxy {
namespace {

enum class Step {
  kGet,
  kPost,
  kReport,
  kAnswer,
  kServerError,
  kComplete,
  kCut,
  kRefuse,
  kRefuseDraining,
  kRefuseDeeper,
  kConnectFailed,
  kNoConnection,
  kClosedUnsent,
  kCannotReplay,
  kLost,
  kMalformed,
  kCallerGone,
  kStaleEvent,
  kAdvance,
  kPause,
  kEndpoints,
  kApply,
  kNodeCount,
};
constexpr int kSteps = static_cast<int>(Step::kNodeCount) + 1;

/// Expected state of a request, recorded independently of the flow's own state.
struct Ledger {
  std::unique_ptr<TestRequest> request;
  bool repeatable = false;
  bool may_have_run = false;  ///< An attempt sent bytes, and its result is unknown.
  bool may_have_run_before = false;
  std::size_t attempts_seen = 0;
  bool gone = false;
  bool completed = false;
};

class Model {
 public:
  explicit Model(std::uint64_t seed) : proxy_(Settings(), seed) {
    proxy_.service.slots_per_server = 2;
    proxy_.begin(3);
  }

  void run(Step step, unsigned number) {
    switch (step) {
      case Step::kGet:
        return start(ProxyFixture::head("GET", "/stock"), true, number);
      case Step::kPost:
        return start(ProxyFixture::head("POST", "/seat"), false, number);
      case Step::kReport:
        return start(ProxyFixture::head("POST", "/report"), true, number);
      case Step::kAdvance:
        proxy_.environment.advance(milliseconds(number % 400));
        break;
      case Step::kPause:
        proxy_.environment.pause(milliseconds(number % 8000));
        break;
      case Step::kEndpoints:
        listEndpoints(number);
        break;
      case Step::kApply:
        proxy_.apply(++version_);
        break;
      case Step::kNodeCount:
        proxy_.state.setNodeCount(number % 60);
        break;
      default:
        runOnRequest(step, number);
    }
    check();
  }

  /// Lets all remaining requests end and checks the final state.
  void finish() {
    proxy_.environment.advance(seconds(200));
    check();
    for (Ledger& ledger : ledgers_) {
      if (!ended(ledger) && !ledger.gone && !ledger.request->forwarded.empty()) {
        ledger.request->flow.onAnswerComplete(ledger.request->attempt());
        ledger.completed = true;
      }
    }
    for (const Ledger& ledger : ledgers_) {
      const std::size_t answers = ledger.request->answers.size() + ledger.request->forwarded.size();
      RC_ASSERT(answers == 1 || (ledger.gone && answers <= 1));
    }
    RC_ASSERT(proxy_.state.requestsInFlight() == 0);
    for (const ServerReport& report : proxy_.state.serverReports())
      RC_ASSERT(report.in_flight == 0);
  }

 private:
  static bool ended(const Ledger& ledger) {
    return ledger.gone || ledger.completed || !ledger.request->answers.empty();
  }

  void start(RequestHead head, bool repeatable, unsigned number) {
    if (number % 3 == 0) head.deadline = milliseconds(number % 700);
    Ledger ledger;
    ledger.repeatable = repeatable;
    ledger.request =
        std::make_unique<TestRequest>(std::move(head), proxy_.state, proxy_.environment);
    ledger.request->bytes_sent = number % 2 == 0;
    ledgers_.push_back(std::move(ledger));
    ledgers_.back().request->flow.start();
    check();
  }

  /// Applies the step to a request in the phase that it requires, if there is any.
  void runOnRequest(Step step, unsigned number) {
    const bool needs_forwarding = step == Step::kComplete || step == Step::kCut;
    std::vector<Ledger*> fitting;
    for (Ledger& ledger : ledgers_) {
      if (ended(ledger)) continue;
      const bool forwarding = !ledger.request->forwarded.empty();
      const bool attempting = ledger.request->attempt_open && !forwarding;
      const bool fits = step == Step::kCallerGone ? true
                        : needs_forwarding        ? forwarding
                                                  : attempting;
      if (fits) fitting.push_back(&ledger);
    }
    if (fitting.empty()) return;
    apply(step, *fitting[number % fitting.size()]);
  }

  void apply(Step step, Ledger& ledger) {
    TestRequest& request = *ledger.request;
    const auto fail = [&](AttemptFailure failure) {
      request.attempt_open = false;
      request.fail(failure);
    };
    switch (step) {
      case Step::kAnswer:
      case Step::kServerError: {
        AnswerHead head;
        head.status = step == Step::kAnswer ? 200 : 500;
        head.load = 0.5;
        return request.answer(head);
      }
      case Step::kComplete:
        ledger.completed = true;
        return request.flow.onAnswerComplete(request.attempt());
      case Step::kCut:
        ledger.completed = true;
        return request.flow.onAnswerCut(request.attempt());
      case Step::kRefuse:
        return request.refuse();
      case Step::kRefuseDraining:
        return request.refuse(true);
      case Step::kRefuseDeeper:
        // Forwarded as "not run", so no earlier attempt may have run.
        request.refuse(false, true);
        if (!request.forwarded.empty()) RC_ASSERT(!ledger.may_have_run);
        return;
      case Step::kConnectFailed:
        return fail(AttemptFailure::kConnectFailed);
      case Step::kNoConnection:
        return fail(AttemptFailure::kNoConnectionFree);
      case Step::kClosedUnsent:
        return fail(AttemptFailure::kClosedUnsent);
      case Step::kCannotReplay:
        return fail(AttemptFailure::kCannotReplay);
      case Step::kLost:
        ledger.may_have_run = true;
        return fail(AttemptFailure::kLostAfterSend);
      case Step::kMalformed:
        ledger.may_have_run = true;
        return fail(AttemptFailure::kMalformedAnswer);
      case Step::kCallerGone:
        ledger.gone = true;
        return request.flow.onCallerGone();
      case Step::kStaleEvent:
        request.flow.onAttemptFailed(request.attempt() + 1, AttemptFailure::kConnectFailed);
        request.flow.onAnswerComplete(request.attempt());
        return;
      default:
        return;
    }
  }

  void listEndpoints(unsigned number) {
    std::vector<model::Endpoint> endpoints;
    for (unsigned server = 0; server < 4; ++server) {
      if ((number >> server) % 2 == 0) continue;
      endpoints.push_back(ProxyFixture::endpoint("s" + std::to_string(server + 1)));
      if ((number >> (server + 4)) % 4 == 0) {
        endpoints.back().state = model::MachineState::kLeaving;
      }
    }
    proxy_.listServers(number % 5 == 0 ? 1 : ++generation_, endpoints);
  }

  void check() {
    std::uint32_t open = 0;
    for (Ledger& ledger : ledgers_) {
      checkRequest(ledger);
      const bool holds_slot = !ended(ledger) && ledger.request->attempt_open;
      if (holds_slot) ++open;
    }
    std::uint32_t in_flight = 0;
    for (const ServerReport& report : proxy_.state.serverReports()) in_flight += report.in_flight;
    RC_ASSERT(in_flight <= open);  // Requests on servers that are no longer listed aren't reported.
  }

  static void checkRequest(Ledger& ledger) {
    const TestRequest& request = *ledger.request;
    RC_ASSERT(request.answers.size() + request.forwarded.size() <= 1);
    if (request.plans.size() > ledger.attempts_seen) {
      // A further attempt began. A request that is not repeatable must not have run before.
      RC_ASSERT(ledger.repeatable || !ledger.may_have_run_before);
      ledger.attempts_seen = request.plans.size();
    }
    ledger.may_have_run_before = ledger.may_have_run;
    for (const LocalAnswer& answer : request.answers) checkAnswer(ledger, answer);
  }

  static void checkAnswer(const Ledger& ledger, const LocalAnswer& answer) {
    const bool cut_while_sending = !ledger.request->cancelled.empty() && ledger.request->bytes_sent;
    const bool may_have_run = ledger.may_have_run || cut_while_sending;
    RC_ASSERT(answer.outcome == (may_have_run ? Outcome::kUnknown : Outcome::kNotRun));
    if (answer.status == 503) RC_ASSERT(answer.outcome == Outcome::kNotRun);
    RC_ASSERT((answer.status == 503) == answer.retry_after.has_value());
    if (answer.retry_after) RC_ASSERT(*answer.retry_after > Duration(0));
    RC_ASSERT(!answer.reason.empty());
  }

  ProxyFixture proxy_;
  std::vector<Ledger> ledgers_;
  std::uint64_t version_ = 1;
  std::uint64_t generation_ = 1;
};

}  // namespace

TEST_CASE("each request ends once, with a truthful outcome, and releases its slot") {
  rc::detail::TestParams params;
  params.seed = 20261202;
  params.maxSuccess = 2000;
  params.maxSize = 200;
  const auto result = rc::detail::checkTestable(
      [](std::uint64_t seed, const std::vector<unsigned>& numbers) {
        Model model(seed);
        for (const unsigned number : numbers) {
          const auto step = static_cast<Step>(number % kSteps);
          model.run(step, (number / kSteps) % 100000);
        }
        model.finish();
      },
      rc::detail::TestMetadata(), params);
  const bool passed = result.is<rc::detail::SuccessResult>();
  if (!passed) {
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    MESSAGE(text.str());
  }
  CHECK(passed);
}

}  // namespace coursepond::proxy
