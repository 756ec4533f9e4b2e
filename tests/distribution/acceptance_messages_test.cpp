#include "distribution/acceptance_messages.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

namespace coursepond::distribution {
namespace {

const AcceptanceRecord kRecord{Version(7), Digest::of("seven"), Version(6)};
const AcceptanceRecord kBase{Version(6), Digest::of("six"), Version(5)};
const AttemptKey kAttempt{NodeId("node-1"), 0xfedcba9876543210};

std::vector<AcceptanceMessage> samples() {
  return {Prepare{kAttempt, PlanId("plan-7"), kRecord, kBase, std::chrono::seconds(3)},
          Granted{kAttempt, kBase},
          Refused{kAttempt, ErrorKind::kConflict, PlanId("plan-8"), AcceptanceRecord()},
          Commit{kAttempt, kRecord},
          Committed{kAttempt},
          Release{kAttempt}};
}

TEST_CASE("every acceptance message round-trips through its encoding and is small") {
  for (const AcceptanceMessage& message : samples()) {
    CAPTURE(messageName(message));
    const std::string bytes = encodeAcceptanceMessage(message);
    CHECK(bytes.size() < 140);
    const auto decoded = decodeAcceptanceMessage(bytes);
    REQUIRE(decoded.has_value());
    CHECK(*decoded == message);
  }
}

TEST_CASE(
    "truncated or extended messages are rejected, and corrupt ones fail only with kMalformed") {
  for (const AcceptanceMessage& message : samples()) {
    const std::string bytes = encodeAcceptanceMessage(message);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      CHECK(decodeAcceptanceMessage(bytes.substr(0, length)).has_error());
    }
    CHECK(decodeAcceptanceMessage(bytes + "x").has_error());
  }
  std::mt19937_64 random(42);
  for (int round = 0; round < 5000; ++round) {
    std::string bytes = encodeAcceptanceMessage(samples()[random() % samples().size()]);
    bytes[random() % bytes.size()] = static_cast<char>(random());
    const auto decoded = decodeAcceptanceMessage(bytes);
    if (decoded.has_error()) {
      CHECK(decoded.error().kind == ErrorKind::kMalformed);
    }
  }
  CHECK(decodeAcceptanceMessage(std::string(5000, '\x80')).has_error());
}

}  // namespace
}  // namespace coursepond::distribution
