#include "runtime/asio_environment.h"

#include <doctest/doctest.h>

#include <vector>

using namespace coursepond;
using namespace std::chrono_literals;

TEST_CASE("callbacks run in the order of their deadlines, and cancelled ones do not run") {
  boost::asio::io_context context;
  runtime::AsioEnvironment environment(context);
  std::vector<int> order;
  environment.schedule(20ms, [&] { order.push_back(3); });
  environment.schedule(1ms, [&] { order.push_back(1); });
  const TimerId cancelled = environment.schedule(5ms, [&] { order.push_back(9); });
  environment.schedule(10ms, [&] { order.push_back(2); });
  environment.cancel(cancelled);
  environment.cancel(cancelled);
  environment.cancel(12345);
  context.run();
  CHECK(order == std::vector<int>{1, 2, 3});
}

TEST_CASE("a callback may schedule and cancel others") {
  boost::asio::io_context context;
  runtime::AsioEnvironment environment(context);
  int runs = 0;
  TimerId other = 0;
  environment.schedule(0ms, [&] {
    environment.cancel(other);
    environment.schedule(-5ms, [&] { ++runs; });
  });
  other = environment.schedule(0ms, [&] { runs += 100; });
  context.run();
  CHECK(runs == 1);
}

TEST_CASE("random numbers stay below their bound") {
  boost::asio::io_context context;
  runtime::AsioEnvironment environment(context);
  for (int i = 0; i < 1000; ++i) CHECK(environment.random(7) < 7);
  CHECK(environment.random(1) == 0);
}
