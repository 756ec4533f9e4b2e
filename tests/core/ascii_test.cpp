#include "core/ascii.h"

#include <doctest/doctest.h>

namespace coursepond {

TEST_CASE("the comparison of names ignores the case of ASCII letters only") {
  CHECK(equalsIgnoringCase("X-Attempt", "x-aTTEMPT"));
  CHECK_FALSE(equalsIgnoringCase("X-Attempt", "X-Attempts"));
  CHECK_FALSE(equalsIgnoringCase("[", "{"));
  CHECK_FALSE(equalsIgnoringCase("\xC4", "\xE4"));
  CHECK(startsWithIgnoringCase("%2E%2e", "%2e"));
  CHECK_FALSE(startsWithIgnoringCase("%2", "%2e"));
}

}  // namespace coursepond
