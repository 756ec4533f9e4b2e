#include "runtime/logging.h"

#include <doctest/doctest.h>

using namespace coursepond;
using namespace coursepond::runtime;

TEST_CASE("a line consists of key=value pairs, with quotes where a value needs them") {
  CHECK(formatLine("zone_lost", {{"zone", "b"}, {"detail", "no \"answer\""}, {"empty", ""}}) ==
        R"(event=zone_lost zone=b detail="no \"answer\"" empty="")");
  CHECK(formatLine("x", {{"a", "1\n2"}}) == R"(event=x a="1\x0a2")");
}

TEST_CASE("lines beyond the limit are counted and omitted") {
  StateLog log(2);
  TimePoint now{};
  for (int i = 0; i < 5; ++i) log.write(LogLevel::kInfo, now, "test", {});
  CHECK(log.written() == 2);
  CHECK(log.suppressed() == 3);
  now += std::chrono::seconds(1);
  log.write(LogLevel::kInfo, now, "test", {});
  CHECK(log.written() == 3);
}
