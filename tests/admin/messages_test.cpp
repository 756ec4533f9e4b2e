#include "admin/messages.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

namespace coursepond::admin {
namespace {

std::vector<Message> samples() {
  FetchAnswer refused{4, Version(), {}};
  refused.mistakes.push_back(
      {"routes[0].service", Error{ErrorKind::kMissingDependency, "missing", "add it"}});
  ProxyStatesAnswer states{6, {}};
  states.proxies.push_back(
      {NodeId("n1"), ZoneId("z1"), Version(3), Version(4), Version(5), "a reason"});
  return {FetchRequest{1, Version(2), true}, FetchAnswer{3, Version(4), {}}, refused,
          ProxyStatesRequest{5}, states};
}

TEST_CASE("every operator message is preserved by encoding and decoding") {
  for (const Message& message : samples()) {
    CAPTURE(messageName(message));
    const std::string bytes = encodeAdminMessage(message);
    const auto decoded = decodeAdminMessage(bytes);
    REQUIRE(decoded.has_value());
    CHECK(decoded->index() == message.index());
    CHECK(encodeAdminMessage(*decoded) == bytes);
  }
  const auto states = decodeAdminMessage(encodeAdminMessage(samples().back()));
  CHECK(std::get<ProxyStatesAnswer>(*states).proxies ==
        std::get<ProxyStatesAnswer>(samples().back()).proxies);
}

TEST_CASE("long texts are truncated when a message is encoded") {
  FetchAnswer answer{1, Version(), {}};
  answer.mistakes.push_back(
      {"path", Error{ErrorKind::kMalformed, std::string(100'000, 'x'), "remedy"}});
  const std::string bytes = encodeAdminMessage(answer);
  CHECK(bytes.size() < 2'000);
  CHECK(decodeAdminMessage(bytes).has_value());
}

TEST_CASE("truncated, extended and random bytes are rejected as malformed") {
  for (const Message& message : samples()) {
    const std::string bytes = encodeAdminMessage(message);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      CHECK(decodeAdminMessage(bytes.substr(0, length)).has_error());
    }
    CHECK(decodeAdminMessage(bytes + "x").has_error());
  }
  std::mt19937_64 random(11);
  for (int round = 0; round < 5000; ++round) {
    std::string bytes = encodeAdminMessage(samples()[random() % samples().size()]);
    bytes[random() % bytes.size()] = static_cast<char>(random());
    const auto decoded = decodeAdminMessage(bytes);
    if (decoded.has_error()) {
      CHECK(decoded.error().kind == ErrorKind::kMalformed);
    }
  }
}

}  // namespace
}  // namespace coursepond::admin
