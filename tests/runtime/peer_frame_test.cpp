#include "runtime/peer_frame.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstring>
#include <random>
#include <vector>

using namespace coursepond;
using namespace coursepond::runtime;

namespace {

constexpr std::size_t kLimit = 100'000;

/// Feeds `bytes` in pieces of at most `piece` bytes. Returns the decoded payloads, followed by "!"
/// if the stream was rejected.
std::vector<std::string> decode(FrameDecoder& decoder, const std::string& bytes,
                                std::size_t piece) {
  std::vector<std::string> payloads;
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    const FrameSpace space = decoder.prepare();
    const std::size_t size = std::min({piece, space.size, bytes.size() - offset});
    std::memcpy(space.data, bytes.data() + offset, size);
    offset += size;
    decoder.commit(size);
    while (true) {
      const auto frame = decoder.next();
      if (!frame) {
        payloads.emplace_back("!");
        return payloads;
      }
      if (!frame->has_value()) break;
      payloads.emplace_back(**frame);
    }
  }
  return payloads;
}

}  // namespace

TEST_CASE("frames are decoded as they were encoded, however the stream is split") {
  const std::vector<std::string> payloads = {"a", "", std::string(70'000, 'x'), "last"};
  std::string stream;
  for (const std::string& payload : payloads) appendFrame(stream, payload);
  for (const std::size_t piece : {1U, 3U, 4096U, 1'000'000U}) {
    FrameDecoder decoder(kLimit);
    CHECK(decode(decoder, stream, piece) == payloads);
    CHECK_FALSE(decoder.insideFrame());
  }
}

TEST_CASE("a truncated frame yields no payload and is detected as incomplete") {
  std::string stream;
  appendFrame(stream, "whole");
  appendFrame(stream, "truncated");
  FrameDecoder decoder(kLimit);
  CHECK(decode(decoder, stream.substr(0, stream.size() - 1), 64) ==
        std::vector<std::string>{"whole"});
  CHECK(decoder.insideFrame());
}

TEST_CASE(
    "a frame over the limit is rejected before its payload arrives and without allocating memory "
    "for it") {
  FrameDecoder decoder(kLimit);
  CHECK(decode(decoder, std::string("\xFF\xFF\xFF\xFF", 4), 4) == std::vector<std::string>{"!"});
  CHECK(decoder.next().error().kind == ErrorKind::kTooLarge);

  FrameDecoder announced(16UL << 20);
  const FrameSpace first = announced.prepare();
  std::memcpy(first.data, "\x00\xFF\xFF\xFF", 4);
  announced.commit(4);
  CHECK_FALSE(announced.next()->has_value());
  CHECK(announced.prepare().size <= 512 * 1024);
}

TEST_CASE("random bytes never yield more payload than was fed, with fixed seeds") {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 engine(seed);
    std::string stream(engine() % 5000, '\0');
    for (char& character : stream) character = static_cast<char>(engine() % 4 == 0 ? engine() : 0);
    FrameDecoder decoder(kLimit);
    std::size_t total = 0;
    for (const std::string& payload : decode(decoder, stream, 1 + engine() % 700)) {
      total += payload.size();
    }
    CHECK(total <= stream.size());
  }
}
