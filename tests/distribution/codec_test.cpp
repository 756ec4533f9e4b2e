#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "distribution/messages.h"

namespace coursepond::distribution {
namespace {

ContentId contentId(std::uint64_t version) {
  return ContentId{Version(version), Digest::of(std::to_string(version))};
}

ShortContentId shortId(std::uint64_t version) { return shortened(contentId(version)); }

EndpointChange endpointChange() {
  EndpointChange change;
  change.key = {ServiceName("fonts"), ZoneId("west")};
  change.base_generation = Generation(4);
  change.generation = Generation(5);
  change.upserted.push_back({EndpointId("w1"), Address{"127.0.0.1", 8080}, ZoneId("west"),
                             model::MachineState::kLeaving});
  change.removed.push_back(EndpointId("w2"));
  return change;
}

/// Returns one message of every kind.
std::vector<Message> examples() {
  Summary summary;
  summary.accepted = Version(9);
  summary.accepted_checksum = 0xfeedbeef;
  summary.staged = Version(10);
  summary.endpoint_checksum = UINT64_MAX;
  summary.wants_answer = true;
  summary.last_error = "digest_mismatch";
  EndpointBuckets buckets;
  buckets.checksums[3] = 77;
  const EndpointKey key{ServiceName("fonts"), ZoneId("west")};
  return {
      summary,
      RecordPush{ForwardMode::kZone, {Version(9), Digest::of("nine"), Version(8)}},
      ContentAnnouncement{ForwardMode::kSecondTree, contentId(9)},
      ContentFetch{shortId(9), {shortId(8), shortId(7)}},
      ContentDelta{shortId(9), shortId(8), std::string("\0\xff zst", 6)},
      ContentFull{shortId(9), "zst"},
      ContentRefusal{shortId(9), RefusalReason::kBusy},
      SecretFetch{shortId(9), {SecretName("key")}},
      SecretDelivery{shortId(9), {{SecretName("key"), model::SecretValue("\xff\x01")}}},
      EndpointPush{ForwardMode::kFirstTree, {endpointChange()}},
      buckets,
      EndpointGenerations{{3, 15}, {{key, Generation(5)}}},
      EndpointFetch{{key}},
  };
}

}  // namespace

TEST_CASE("every message kind round-trips through its encoding") {
  const std::vector<Message> messages = examples();
  REQUIRE(messages.size() == std::variant_size_v<Message>);
  for (const Message& message : messages) {
    const Result<Message> decoded = decodeMessage(encodeMessage(message));
    REQUIRE(decoded.has_value());
    CHECK(*decoded == message);
  }
}

TEST_CASE("an encoded summary is small") { CHECK(encodeMessage(examples().front()).size() < 64); }

TEST_CASE("a truncated or extended message is rejected") {
  for (const Message& message : examples()) {
    const std::string bytes = encodeMessage(message);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      CHECK(decodeMessage(std::string_view(bytes).substr(0, length)).has_error());
    }
    CHECK(decodeMessage(bytes + '\0').has_error());
  }
}

TEST_CASE("random bytes and random corruption never throw") {
  std::mt19937 engine(20240611);
  const std::vector<Message> messages = examples();
  for (int round = 0; round < 20000; ++round) {
    std::string bytes(engine() % 64, '\0');
    for (char& byte : bytes) byte = static_cast<char>(engine());
    static_cast<void>(decodeMessage(bytes));

    std::string corrupted = encodeMessage(messages[engine() % messages.size()]);
    corrupted[engine() % corrupted.size()] = static_cast<char>(engine());
    static_cast<void>(decodeMessage(corrupted));
  }
}

TEST_CASE("nested arrays cannot exhaust the stack") {
  const std::string nested(4 * 1024 * 1024, '\x81');
  CHECK(decodeMessage(nested).error().kind == ErrorKind::kMalformed);
}

TEST_CASE("lengths beyond the input are rejected before memory is allocated") {
  for (const std::string_view bytes :
       {std::string_view("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9),
        std::string_view("\x82\x04\x5b\x00\x00\x00\x00\xff\xff\xff\xff", 11),
        std::string_view("\x9f\x0a\x80\xff", 4)}) {
    CHECK(decodeMessage(bytes).error().kind == ErrorKind::kMalformed);
  }
}

TEST_CASE("input over the size limits is rejected as too large") {
  CHECK(decodeMessage(std::string(kMaxMessageBytes + 1, '\0')).error().kind ==
        ErrorKind::kTooLarge);
  EndpointFetch fetch;
  fetch.keys.assign(kMaxListLength + 1, EndpointKey{ServiceName("s"), ZoneId("z")});
  CHECK(decodeMessage(encodeMessage(fetch)).error().kind == ErrorKind::kTooLarge);
}

}  // namespace coursepond::distribution
