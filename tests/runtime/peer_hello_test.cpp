#include "runtime/peer_hello.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <random>

using namespace coursepond;
using namespace coursepond::runtime;

namespace {

PeerIdentity exampleIdentity() {
  return PeerIdentity{"mesh", NodeId("a1"), ZoneId("a"), Incarnation(5), Address{"127.0.0.1", 7}};
}

}  // namespace

TEST_CASE("a hello and its answer decode to what was encoded") {
  const Result<Hello> hello = decodeHello(encodeHello(Hello{1, exampleIdentity()}));
  REQUIRE(hello.has_value());
  CHECK(hello->identity == exampleIdentity());

  const HelloAnswer later{1, HelloOutcome::kLater, std::chrono::seconds(1), exampleIdentity()};
  const Result<HelloAnswer> answer = decodeHelloAnswer(encodeHelloAnswer(later));
  REQUIRE(answer.has_value());
  CHECK(answer->outcome == HelloOutcome::kLater);
  CHECK(answer->retry_after == std::chrono::seconds(1));
  CHECK(answer->identity == exampleIdentity());
}

TEST_CASE("for another protocol version, only the version is decoded") {
  const auto bytes = nlohmann::json::to_cbor({"coursepond", 9, {{"new", "shape"}}});
  const std::string text(bytes.begin(), bytes.end());
  CHECK(decodeHello(text)->protocol_version == 9);
  CHECK(decodeHelloAnswer(text)->outcome == HelloOutcome::kWrongVersion);
}

TEST_CASE("corrupted hellos are rejected or decoded without a crash, with fixed seeds") {
  const std::string good = encodeHello(Hello{1, exampleIdentity()});
  for (std::size_t size = 0; size < good.size(); ++size) {
    CHECK(decodeHello(good.substr(0, size)).has_error());
  }
  for (std::uint32_t seed = 1; seed <= 500; ++seed) {
    std::mt19937 engine(seed);
    std::string damaged = good;
    for (int i = 0; i < 3; ++i) damaged[engine() % damaged.size()] = static_cast<char>(engine());
    const Result<Hello> hello = decodeHello(damaged);
    if (hello) continue;
    CHECK(hello.error().kind == ErrorKind::kMalformed);
    CHECK_FALSE(hello.error().remedy.empty());
  }
  CHECK(decodeHello(std::string(kHelloLimit, '\x81')).has_error());
  CHECK(decodeHello(std::string(1 << 20, '\x81')).has_error());
  CHECK(decodeHello("GET / HTTP/1.1\r\n\r\n").has_error());
}
