#include "runtime/log_line.h"

#include <doctest/doctest.h>

#include "runtime/logging.h"

namespace coursepond::runtime {

TEST_CASE("a line parses to the fields that were written") {
  const std::vector<LogField> fields = {
      {"zone", "b"}, {"detail", "no \"answer\" \\ = x"}, {"empty", ""}};
  const auto line = parseLogLine("I20261202 11:32:18.256235 10103 state:0] " +
                                 formatLine("zone_lost", fields) + "\n");
  REQUIRE(line.has_value());
  CHECK(line->event == "zone_lost");
  CHECK(line->fields == fields);
  CHECK(line->field("zone") == "b");
  CHECK_FALSE(line->field("nothing").has_value());
  CHECK(timeOfDay(*line) ==
        std::chrono::hours(11) + std::chrono::minutes(32) + std::chrono::microseconds(18'256'235));
}

TEST_CASE(
    "lines without an event are rejected, and truncated lines are parsed as far as possible") {
  CHECK_FALSE(parseLogLine("").has_value());
  CHECK_FALSE(parseLogLine("terminate called").has_value());
  CHECK(parseLogLine("event=")->event.empty());
  CHECK(parseLogLine("event=a b")->fields.empty());
  CHECK(parseLogLine("event=a b=\"c")->field("b") == "c");
  CHECK(timeOfDay(*parseLogLine("event=a")) == Duration(0));
}

}  // namespace coursepond::runtime
