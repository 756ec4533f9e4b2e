#include "egress/slot_search.h"

#include <doctest/doctest.h>

namespace coursepond::egress {
namespace {

using std::chrono::milliseconds;

proxy::HopLoad makeLoad(std::uint32_t waiting, std::uint32_t slots = 4,
                        Duration service_time = milliseconds(100)) {
  return {slots, waiting, slots, service_time, false};
}

}  // namespace

TEST_CASE("only the last of the ingresses that may refuse is asked to let the request wait") {
  const SlotSearchSettings settings{.most_full_ingresses = 3};
  SlotSearch search(settings, false);
  CHECK_FALSE(search.mayWait());
  search.onNoRoom(std::make_shared<Server>(), makeLoad(0));
  CHECK_FALSE(search.mayWait());
  search.onRefused();
  CHECK(search.mayWait());
}

TEST_CASE("one ingress that may refuse: the request may wait there") {
  const SlotSearchSettings settings{.most_full_ingresses = 1};
  const SlotSearch search(settings, false);
  CHECK(search.mayWait());
  CHECK_FALSE(search.asksOwnZone());
}

TEST_CASE("a server that rejects much of its work is joined when all others are far longer") {
  const SlotSearchSettings settings;
  SlotSearch search(settings, false);
  const auto rejecting = std::make_shared<Server>();
  const auto full = std::make_shared<Server>();
  search.onRejecting(rejecting, {0, 0, 4, milliseconds(100), false});
  search.onNoRoom(full, makeLoad(8));
  CHECK(search.joinShortestQueue() == full);
}

TEST_CASE("a call of running work may wait at each ingress, and is refused by two at most") {
  const SlotSearchSettings settings;
  SlotSearch search(settings, true);
  CHECK(search.mayWait());
  search.onNoRoom(std::make_shared<Server>(), makeLoad(0));
  CHECK(search.mayWait());
  CHECK_FALSE(search.shouldJoin());
  CHECK_FALSE(search.isOver());
  search.onNoRoom(std::make_shared<Server>(), makeLoad(0));
  CHECK(search.isOver());
}

TEST_CASE("the own zone is asked a few times, other zones once, and more while no queue is known") {
  const SlotSearchSettings settings{
      .most_full_ingresses = 9, .own_zone_asks = 2, .other_zone_asks = 1};
  SlotSearch search(settings, false);
  CHECK(search.asksOwnZone());
  search.onAsk(true);
  CHECK(search.asksOwnZone());
  search.onAsk(true);
  CHECK_FALSE(search.asksOwnZone());
  search.onAsk(false);
  CHECK(search.mayAsk(false));
  search.onNoRoom(std::make_shared<Server>(), makeLoad(0));
  CHECK_FALSE(search.mayAsk(false));
  CHECK(search.mayAsk(true));
}

TEST_CASE("the shortest queue is the one that is expected to be through first, joined once") {
  const SlotSearchSettings settings;
  SlotSearch search(settings, false);
  CHECK(search.joinShortestQueue() == nullptr);
  const auto crowded = std::make_shared<Server>();
  const auto slow = std::make_shared<Server>();
  const auto fast = std::make_shared<Server>();
  search.onNoRoom(crowded, makeLoad(6));
  search.onNoRoom(slow, makeLoad(0, 4, milliseconds(400)));
  search.onNoRoom(fast, makeLoad(2));
  search.onNoRoom(std::make_shared<Server>(), makeLoad(0, 0));
  CHECK(search.joinShortestQueue() == fast);
  CHECK(search.mayWait());
  CHECK(search.joinShortestQueue() == nullptr);
}

}  // namespace coursepond::egress
