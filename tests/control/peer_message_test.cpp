#include "control/peer_message.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

namespace coursepond::control {
namespace {

std::vector<PeerMessage> samples() {
  std::vector<PeerMessage> messages;
  messages.emplace_back(membership::Message(membership::Gossip{}));
  messages.emplace_back(distribution::Message(distribution::EndpointFetch{}));
  messages.emplace_back(distribution::AcceptanceMessage(distribution::Release{{NodeId("n"), 7}}));
  messages.emplace_back(admin::Message(admin::FetchRequest{1, Version(2), true}));
  return messages;
}

TEST_CASE("encoding and decoding a peer message preserves its protocol and body") {
  for (const PeerMessage& message : samples()) {
    const std::string bytes = encodePeerMessage(message);
    const auto decoded = decodePeerMessage(bytes);
    REQUIRE(decoded.has_value());
    CHECK(kindOf(*decoded) == kindOf(message));
    CHECK(encodePeerMessage(*decoded) == bytes);
  }
}

TEST_CASE("bytes that are not a peer message are rejected") {
  CHECK(decodePeerMessage("").has_error());
  CHECK(decodePeerMessage("\x09whatever").has_error());
  std::mt19937_64 random(3);
  std::size_t refused = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes(random() % 60, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random());
    }
    if (!bytes.empty()) {
      bytes.front() = static_cast<char>(random() % 5);
    }
    refused += decodePeerMessage(bytes).has_error() ? 1 : 0;
  }
  CHECK(refused > 19'900);
}

}  // namespace
}  // namespace coursepond::control
