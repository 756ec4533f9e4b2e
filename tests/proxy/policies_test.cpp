// Unit tests of the policy classes, for cases that tests of whole requests do not reach.

#include <doctest/doctest.h>

#include "proxy/admission_queue.h"
#include "proxy/concurrency_limit.h"
#include "proxy/connection_share.h"
#include "proxy/deadline_queue.h"
#include "proxy/leaving_marks.h"
#include "proxy/outlier_detector.h"
#include "proxy/repeatability.h"
#include "proxy/retry_budget.h"
#include "proxy/server_set.h"
#include "support/virtual_environment.h"

namespace coursepond::proxy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(seconds(1000));

class TestWaiter final : public Waiter {
 public:
  explicit TestWaiter(model::Priority priority = model::Priority::kInteractive)
      : Waiter(priority) {}
  void onServerAssigned(const ServerPointer&, TimePoint) override {}
  void onWaitEnded(Reason, TimePoint) override {}
};

class TestDeadline final : public DeadlineEntry {
 public:
  void onDeadline(TimePoint now) override { fired.push_back(now); }
  std::vector<TimePoint> fired;
};

model::Endpoint endpoint(const std::string& id,
                         model::MachineState state = model::MachineState::kLive) {
  return {EndpointId(id), Address{"127.0.0.1", 9000}, ZoneId("a"), state};
}

}  // namespace

TEST_CASE("deadlines fire in order, once, on a single timer") {
  VirtualEnvironment environment;
  DeadlineQueue queue(environment);
  TestDeadline first, second, third;
  queue.arm(second, environment.now() + milliseconds(20));
  queue.arm(first, environment.now() + milliseconds(10));
  queue.arm(third, environment.now() + milliseconds(30));
  CHECK(environment.timers() == 1);
  queue.disarm(second);
  queue.arm(third, environment.now() + milliseconds(40));
  environment.advance(milliseconds(35));
  CHECK(first.fired.size() == 1);
  CHECK(second.fired.empty());
  CHECK(third.fired.empty());
  environment.advance(milliseconds(5));
  CHECK(third.fired.size() == 1);
  CHECK(environment.timers() == 0);
}

TEST_CASE("a destroyed deadline is never called") {
  VirtualEnvironment environment;
  DeadlineQueue queue(environment);
  {
    TestDeadline gone;
    queue.arm(gone, environment.now() + milliseconds(1));
  }
  environment.drain();
  CHECK(environment.timers() == 0);
}

TEST_CASE("the queue serves in order, with one batch request after interactive_weight requests") {
  AdmissionSettings settings;
  settings.interactive_weight = 2;
  AdmissionQueue queue(settings);
  queue.setLimit(10);
  TestWaiter batch(model::Priority::kBatch);
  TestWaiter interactive[4];
  CHECK(queue.enter(batch).admitted);
  for (TestWaiter& waiter : interactive) CHECK(queue.enter(waiter).admitted);

  std::vector<Waiter*> served;
  while (!queue.empty()) {
    const model::Priority next = queue.nextPriority();
    served.push_back(queue.front(next));
    queue.serveFront(next);
  }
  const std::vector<Waiter*> expected = {&interactive[0], &interactive[1], &batch, &interactive[2],
                                         &interactive[3]};
  CHECK(served == expected);
}

TEST_CASE(
    "batch requests fill only their part of the queue and are displaced by interactive ones") {
  AdmissionSettings settings;
  AdmissionQueue queue(settings);
  queue.setLimit(4);
  TestWaiter batch[3] = {TestWaiter(model::Priority::kBatch), TestWaiter(model::Priority::kBatch),
                         TestWaiter(model::Priority::kBatch)};
  TestWaiter interactive[5];
  CHECK(queue.enter(batch[0]).admitted);
  CHECK(queue.enter(batch[1]).admitted);
  CHECK(queue.enter(batch[2]).refusal == Reason::kBatchShed);
  CHECK(queue.enter(interactive[0]).displaced == nullptr);
  CHECK(queue.enter(interactive[1]).displaced == nullptr);
  CHECK(queue.enter(interactive[2]).displaced == &batch[1]);
  CHECK(queue.enter(interactive[3]).displaced == &batch[0]);
  const QueueEntry refused = queue.enter(interactive[4]);
  CHECK_FALSE(refused.admitted);
  CHECK(refused.refusal == Reason::kQueueFull);
  CHECK(queue.size() == 4);
  for (TestWaiter& waiter : interactive) queue.leave(waiter);
  CHECK(queue.empty());
}

TEST_CASE("a readmitted request goes to the front") {
  AdmissionSettings settings;
  AdmissionQueue queue(settings);
  queue.setLimit(1);
  TestWaiter first, again;
  queue.enter(first);
  queue.reenter(again);
  CHECK(queue.front(model::Priority::kInteractive) == &again);
  queue.leave(again);
  queue.leave(again);
  queue.leave(first);
}

TEST_CASE(
    "the concurrency limit decreases once per burst of refusals and recovers in small steps") {
  ConcurrencySettings settings;
  ConcurrencyLimit limit(20, 4);
  CHECK(limit.value() == 10);
  for (int number = 0; number < 20; ++number) limit.onAnswered(limit.value(), false, settings);
  CHECK(limit.value() == 20);
  limit.onRefused(20, milliseconds(10), kStart, settings);
  limit.onRefused(20, milliseconds(10), kStart + milliseconds(5), settings);
  CHECK(limit.value() == 16);
  for (int number = 0; number < 16; ++number) limit.onAnswered(16, false, settings);
  CHECK(limit.exactValue() == doctest::Approx(16.3).epsilon(0.01));
  limit.onAnswered(3, false, settings);
  CHECK(limit.exactValue() == doctest::Approx(16.3).epsilon(0.01));
}

TEST_CASE("a report of full load slows down the growth of the limit but does not stop it") {
  ConcurrencySettings settings;
  ConcurrencyLimit full_limit(20, 4);
  ConcurrencyLimit idle_limit(20, 4);
  for (ConcurrencyLimit* limit : {&full_limit, &idle_limit}) {
    limit->onRefused(10, milliseconds(10), kStart, settings);
    for (int number = 0; number < 80; ++number) {
      limit->onAnswered(limit->value(), limit == &full_limit, settings);
    }
  }
  CHECK(full_limit.exactValue() > 8.5);
  CHECK(full_limit.exactValue() < idle_limit.exactValue());
}

TEST_CASE("a limit below one request causes a pause between requests") {
  ConcurrencySettings settings;
  ConcurrencyLimit limit(1, 50);
  CHECK(limit.pause(milliseconds(10)) == Duration(0));
  TimePoint now = kStart;
  for (int number = 0; number < 50; ++number) {
    now += milliseconds(20);
    limit.onRefused(1, milliseconds(10), now, settings);
  }
  CHECK(limit.value() == 1);
  CHECK(limit.pause(milliseconds(10)) == milliseconds(70));
}

TEST_CASE("connections are divided among the nodes and recover after a refusal") {
  CHECK(ConnectionShare::evenPart(120, 6) == 20);
  CHECK(ConnectionShare::evenPart(120, 500) == 1);
  CHECK(ConnectionShare::evenPart(120, 0) == 120);
  ConnectionShare share;
  CHECK(share.value(20, kStart) == 20);
  share.onRefused(5, kStart);
  CHECK(share.value(20, kStart) == 5);
  CHECK(share.value(20, kStart + seconds(1)) == 7);
  CHECK(share.value(20, kStart + seconds(60)) == 20);
  share.onRefused(0, kStart + seconds(60));
  CHECK(share.value(20, kStart + seconds(60)) == 1);
}

TEST_CASE("the retry budget is a percentage of first attempts with a small floor") {
  RetrySettings settings;
  settings.burst = 2;
  settings.floor_per_second = 1;
  RetryBudget budget(50, settings);
  CHECK(budget.take(kStart));
  CHECK(budget.take(kStart));
  CHECK_FALSE(budget.take(kStart));
  budget.onFirstAttempt();
  CHECK_FALSE(budget.take(kStart));
  budget.onFirstAttempt();
  CHECK(budget.take(kStart));
  CHECK(budget.take(kStart + seconds(1)));
  CHECK_FALSE(budget.take(kStart + seconds(1)));
  budget.setPercent(0);
  CHECK_FALSE(budget.take(kStart + seconds(100)));
}

TEST_CASE("whether a request may run twice depends on the route's repeatability and the method") {
  CHECK(mayRunTwice(model::Repeatability::kByMethod, "GET"));
  CHECK_FALSE(mayRunTwice(model::Repeatability::kByMethod, "POST"));
  CHECK_FALSE(mayRunTwice(model::Repeatability::kByMethod, "get"));
  CHECK_FALSE(mayRunTwice(model::Repeatability::kNever, "GET"));
  CHECK(mayRunTwice(model::Repeatability::kAlways, "POST"));
}

TEST_CASE("ejections get longer, reset after a healthy time, and are followed by a probation") {
  VirtualEnvironment environment;
  OutlierSettings settings;
  const OutlierDetector detector(settings, environment);
  OutlierRecord record;
  for (int number = 0; number < 4; ++number) CHECK_FALSE(detector.onFailure(record, kStart));
  CHECK(detector.onFailure(record, kStart));
  detector.eject(record, kStart);
  CHECK(record.ejected(kStart + seconds(2) - milliseconds(1)));
  CHECK_FALSE(record.ejected(kStart + milliseconds(2201)));
  CHECK(detector.onFailure(record, kStart + seconds(3)));
  CHECK(detector.isOutlier(record, 0, kStart + seconds(3)));
  detector.eject(record, kStart + seconds(3));
  CHECK(record.ejected(kStart + milliseconds(6999)));
  detector.onSuccess(record, kStart + seconds(10));
  CHECK(record.ejections == 2);
  detector.onSuccess(record, kStart + seconds(100));
  CHECK(record.ejections == 0);
}

TEST_CASE("a server that fails often but not always is ejected because of its failure rate") {
  VirtualEnvironment environment;
  OutlierSettings settings;
  const OutlierDetector detector(settings, environment);
  OutlierRecord record;
  bool ejected = false;
  for (int number = 0; number < 60 && !ejected; ++number) {
    detector.onSuccess(record, kStart);
    ejected = detector.onFailure(record, kStart) || detector.onFailure(record, kStart);
  }
  CHECK(ejected);
}

TEST_CASE("at most half of the servers are ejected, or all but one if they accept no connections") {
  VirtualEnvironment environment;
  OutlierSettings settings;
  const OutlierDetector detector(settings, environment);
  OutlierRecord failing;
  CHECK_FALSE(detector.mayEject(failing, 0, 1));
  CHECK(detector.mayEject(failing, 0, 2));
  CHECK_FALSE(detector.mayEject(failing, 1, 2));
  CHECK(detector.mayEject(failing, 1, 4));
  CHECK_FALSE(detector.mayEject(failing, 2, 4));
  OutlierRecord unreachable;
  unreachable.connect_failures = settings.consecutive_failures;
  CHECK(detector.mayEject(unreachable, 2, 4));
  CHECK_FALSE(detector.mayEject(unreachable, 3, 4));
  CHECK_FALSE(detector.mayEject(unreachable, 0, 1));
}

TEST_CASE("a server is an outlier only if its peers are healthier") {
  VirtualEnvironment environment;
  OutlierSettings settings;
  const OutlierDetector detector(settings, environment);
  OutlierRecord record;
  for (int number = 0; number < 30; ++number) detector.onFailure(record, kStart);
  const double rate = record.failureRate(kStart);
  CHECK(detector.isOutlier(record, 0, kStart));
  CHECK(detector.isOutlier(record, rate / 2, kStart));
  CHECK_FALSE(detector.isOutlier(record, rate, kStart));
  OutlierRecord beginning;
  for (int number = 0; number < 5; ++number) detector.onFailure(beginning, kStart);
  CHECK(detector.isOutlier(beginning, 0, kStart));
  CHECK_FALSE(detector.isOutlier(beginning, beginning.failureRate(kStart) / 2, kStart));
}

TEST_CASE("a leaving mark is only removed by a newer live record after the hold time") {
  LeavingMarks marks(seconds(30));
  marks.mark(EndpointId("s1"), Generation(5), kStart);
  CHECK(marks.onRecord(endpoint("s1"), Generation(5), kStart + seconds(60)));
  CHECK(marks.onRecord(endpoint("s1"), Generation(6), kStart + seconds(29)));
  CHECK_FALSE(marks.onRecord(endpoint("s2"), Generation(6), kStart));
  CHECK_FALSE(marks.onRecord(endpoint("s1"), Generation(6), kStart + seconds(30)));
  CHECK_FALSE(marks.isMarked(EndpointId("s1")));
}

TEST_CASE("a leaving mark survives the server's absence from the record") {
  Settings settings;
  ServerSet servers(settings);
  const auto update = [&](std::uint64_t generation, std::vector<model::Endpoint> endpoints,
                          TimePoint now) {
    servers.update({ServiceName("stock"), ZoneId("a"), Generation(generation), endpoints}, 4, 1,
                   now);
  };
  update(1, {endpoint("s1"), endpoint("s2", model::MachineState::kLeaving)}, kStart);
  CHECK(servers.isUsable(EndpointId("s1")));
  CHECK_FALSE(servers.isUsable(EndpointId("s2")));
  update(2, {endpoint("s1")}, kStart + seconds(1));
  CHECK(servers.all().size() == 1);
  update(3, {endpoint("s1"), endpoint("s2")}, kStart + seconds(2));
  CHECK_FALSE(servers.isUsable(EndpointId("s2")));
  update(2, {}, kStart + seconds(3));
  CHECK(servers.all().size() == 2);
  update(4, {endpoint("s1"), endpoint("s2")}, kStart + seconds(31));
  CHECK(servers.isUsable(EndpointId("s2")));
  update(5, {}, kStart + seconds(32));
  CHECK(servers.usable().empty());
}

TEST_CASE("a server with the same id and another address starts cold, with its state reset") {
  Settings settings;
  ServerSet servers(settings);
  model::EndpointSet record{ServiceName("stock"), ZoneId("a"), Generation(1), {endpoint("s1")}};
  servers.update(record, 4, 1, kStart);
  const ServerPointer before = servers.usable()[0];
  before->in_flight = 3;
  record.generation = Generation(2);
  servers.update(record, 4, 1, kStart);
  CHECK(servers.usable()[0] == before);
  record.generation = Generation(3);
  record.endpoints[0].address.port = 9001;
  servers.update(record, 4, 1, kStart);
  CHECK(servers.usable()[0]->in_flight == 0);
  CHECK(servers.usable()[0]->warm_since == kStart);
}

}  // namespace coursepond::proxy
