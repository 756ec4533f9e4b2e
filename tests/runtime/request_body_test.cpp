#include "runtime/request_body.h"

#include <doctest/doctest.h>

#include <string>

namespace coursepond::runtime {
namespace {

constexpr std::size_t kReplayBytes = 1000;

/// Adds `bytes` in pieces of this size.
void addPieces(RequestBody& body, std::string_view bytes, std::size_t piece_bytes) {
  for (std::size_t position = 0; position < bytes.size(); position += piece_bytes) {
    body.add(bytes.substr(position, piece_bytes));
  }
}

}  // namespace

TEST_CASE("a body has the same digest whether it is kept or not, and in whatever pieces it comes") {
  for (const std::size_t size : {std::size_t{0}, std::size_t{1}, kReplayBytes, kReplayBytes + 1,
                                 std::size_t{65'537}, std::size_t{1'500'000}}) {
    for (const std::size_t piece_bytes : {std::size_t{999}, std::size_t{65'536}, size + 1}) {
      CAPTURE(size);
      CAPTURE(piece_bytes);
      std::string bytes(size, 'x');
      if (size > 0) bytes.back() = 'y';
      RequestBody body({kReplayBytes, /*digests_unkept=*/true});
      addPieces(body, bytes, piece_bytes);
      CHECK(body.received() == size);
      CHECK(body.isKept() == (size <= kReplayBytes));
      CHECK(body.bytes() == (body.isKept() ? bytes : std::string()));
      CHECK(body.digest() == Digest::of(bytes));
    }
  }
}

TEST_CASE("a body that is neither kept nor digested has no digest") {
  RequestBody body({kReplayBytes, /*digests_unkept=*/false});
  body.add(std::string(kReplayBytes + 1, 'x'));
  CHECK_FALSE(body.digest().has_value());
}

TEST_CASE("the next body of a connection starts anew") {
  RequestBody body({kReplayBytes, /*digests_unkept=*/true});
  body.add(std::string(kReplayBytes + 1, 'x'));
  body.clear();
  CHECK(body.isKept());
  CHECK(body.received() == 0);
  body.add("abc");
  CHECK(body.bytes() == "abc");
  CHECK(body.digest() == Digest::of("abc"));
}

}  // namespace coursepond::runtime
