#include "ingress/work_queue.h"

#include <doctest/doctest.h>

#include <vector>

namespace coursepond::ingress {
namespace {

using std::chrono::milliseconds;

struct TestWaiter final : Waiter {
  TestWaiter(const std::string& owner, std::uint32_t waiter_rank, Duration due_after) {
    tenant = TenantName(owner);
    rank = waiter_rank;
    due = TimePoint(due_after);
  }
  void onSlot(TimePoint) override {}
  void onDisplaced(proxy::Reason, TimePoint) override {}
};

std::vector<const Waiter*> drain(WorkQueue& queue) {
  std::vector<const Waiter*> order;
  while (Waiter* const waiter = queue.first()) {
    order.push_back(waiter);
    queue.remove(*waiter);
  }
  return order;
}

}  // namespace

TEST_CASE("a tenant that floods the queue delays its own requests, not those of others") {
  WorkQueue queue;
  std::vector<TestWaiter> flood(4, TestWaiter("hot", 1, milliseconds(100)));
  for (TestWaiter& waiter : flood) queue.add(waiter);
  TestWaiter other("calm", 1, milliseconds(200));
  CHECK(queue.ahead(other) == 1);
  CHECK(queue.goesBeforeLast(other));
  TestWaiter fifth("hot", 1, milliseconds(100));
  CHECK(queue.ahead(fifth) == 4);
  CHECK_FALSE(queue.goesBeforeLast(fifth));
  queue.add(other);
  CHECK(drain(queue) ==
        std::vector<const Waiter*>{&flood[0], &other, &flood[1], &flood[2], &flood[3]});
}

TEST_CASE("a lower rank goes before any turn, and each rank has its own turns") {
  WorkQueue queue;
  std::vector<TestWaiter> urgent(2, TestWaiter("hot", 0, milliseconds(300)));
  TestWaiter other("calm", 1, milliseconds(100));
  TestWaiter later("hot", 1, milliseconds(50));
  for (TestWaiter& waiter : urgent) queue.add(waiter);
  queue.add(other);
  queue.add(later);
  CHECK(drain(queue) == std::vector<const Waiter*>{&urgent[0], &urgent[1], &later, &other});
}

TEST_CASE("without tenants the request with the earliest target time goes first") {
  WorkQueue queue;
  TestWaiter late("", 1, milliseconds(300));
  TestWaiter early("", 1, milliseconds(100));
  TestWaiter middle("", 1, milliseconds(200));
  for (TestWaiter* waiter : {&late, &early, &middle}) queue.add(*waiter);
  CHECK(drain(queue) == std::vector<const Waiter*>{&early, &middle, &late});
}

}  // namespace coursepond::ingress
