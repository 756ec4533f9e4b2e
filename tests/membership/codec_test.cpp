#include <doctest/doctest.h>

#include <random>
#include <string>

#include "membership/messages.h"

namespace coursepond::membership {
namespace {

Member member(const std::string& id, const std::string& zone, const std::string& host) {
  return Member{NodeId(id),
                ZoneId(zone),
                Address{host, 7000},
                Incarnation(1'764'662'400'000),
                MemberState::kSuspect,
                true};
}

Updates someUpdates() {
  const Member near = member("n1", "a", "10.0.0.1");
  const Member far = member("n2", "b", "::1");
  const ZoneSummary summary{ZoneId("b"), 180, {far}};
  return Updates{{near, far}, {ZoneReport{NodeId("n1"), Incarnation(4), 9, true, summary}}};
}

std::vector<Message> oneOfEach() {
  const ZoneSummary summary{ZoneId("b"), 180, {member("n2", "b", "10.0.0.2")}};
  return {Ping{7, 0xdeadbeef, {}},
          Ping{7, 1, Updates{{member("n1", "a", "10.0.0.1")}, {}}},
          Ack{8, 2, someUpdates()},
          PingRequest{9, NodeId("n3")},
          Gossip{someUpdates()},
          JoinRequest{member("n4", "c", "host.invalid")},
          JoinDeferred{std::chrono::milliseconds(250)},
          SyncRequest{11, 5},
          TablePage{12, someUpdates(), true, true},
          ZoneProbe{1, 2, std::nullopt},
          ZoneProbe{1, 2, summary},
          ZoneAnswer{3, ZoneId("b"), summary, {summary, ZoneSummary{ZoneId("c"), 0, {}}}},
          ZoneAnswer{3, ZoneId("b"), std::nullopt, {}}};
}

bool isMalformed(const std::string& bytes) {
  const Result<Message> decoded = decodeMessage(bytes);
  return decoded.has_error() && decoded.error().kind == ErrorKind::kMalformed &&
         !decoded.error().remedy.empty();
}

}  // namespace

TEST_CASE("every message type survives encoding and decoding") {
  for (const Message& message : oneOfEach()) {
    const Result<Message> decoded = decodeMessage(encodeMessage(message));
    REQUIRE(decoded.has_value());
    CHECK(*decoded == message);
  }
}

TEST_CASE("probes without updates stay small") {
  CHECK(encodeMessage(Ping{4'000'000'000, 0xffffffff, {}}).size() <= 12);
  CHECK(encodeMessage(ZoneProbe{4'000'000'000, 0xffffffff, {}}).size() <= 13);
}

TEST_CASE("truncated and extended messages are rejected") {
  for (const Message& message : oneOfEach()) {
    const std::string bytes = encodeMessage(message);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      CHECK(isMalformed(bytes.substr(0, length)));
    }
    CHECK(isMalformed(bytes + '\0'));
  }
}

TEST_CASE("decoding random bytes and corrupted messages never throws") {
  std::mt19937 engine(20'261'202);
  for (int round = 0; round < 2'000; ++round) {
    std::string bytes(engine() % 64, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(engine());
    }
    (void)decodeMessage(bytes);
  }
  for (const Message& message : oneOfEach()) {
    for (int round = 0; round < 500; ++round) {
      std::string bytes = encodeMessage(message);
      bytes[engine() % bytes.size()] = static_cast<char>(engine());
      (void)decodeMessage(bytes);
    }
  }
}

TEST_CASE("deep nesting and lengths beyond the input are rejected") {
  CHECK(isMalformed(std::string(1'000'000, '\x81')));
  CHECK(isMalformed(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xfe", 9)));
  CHECK(isMalformed(std::string("\x9b\x00\x00\x00\x00\xff\xff\xff\xff", 9)));
}

}  // namespace coursepond::membership
