#include "runtime/request_body.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

namespace coursepond::runtime {
namespace {

constexpr std::size_t kReplayBytes = 1000;
constexpr std::size_t kHeldBytes = 2'000'000;

std::shared_ptr<HeldBodyBudget> makeBudget(std::size_t bytes = 10 * kHeldBytes) {
  return std::make_shared<HeldBodyBudget>(bytes);
}

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
      RequestBody body({kReplayBytes, /*digests_unkept=*/true, kHeldBytes}, makeBudget());
      addPieces(body, bytes, piece_bytes);
      CHECK(body.received() == size);
      CHECK(body.isKept() == (size <= kReplayBytes));
      CHECK(body.bytes() == (body.isKept() ? bytes : std::string()));
      CHECK(body.digest() == Digest::of(bytes));
      RequestBody held({kReplayBytes, /*digests_unkept=*/false, kHeldBytes}, makeBudget());
      held.beginHold();
      addPieces(held, bytes, piece_bytes);
      CHECK(held.bytes() == bytes);
      CHECK(held.digest() == Digest::of(bytes));
    }
  }
}

TEST_CASE("a body that is neither kept nor digested has no digest") {
  RequestBody body({kReplayBytes, /*digests_unkept=*/false, kHeldBytes}, makeBudget());
  body.add(std::string(kReplayBytes + 1, 'x'));
  CHECK_FALSE(body.digest().has_value());
}

TEST_CASE("the next body of a connection starts anew") {
  RequestBody body({kReplayBytes, /*digests_unkept=*/true, kHeldBytes}, makeBudget());
  body.add(std::string(kReplayBytes + 1, 'x'));
  body.clear();
  CHECK(body.isKept());
  CHECK(body.received() == 0);
  body.add("abc");
  CHECK(body.bytes() == "abc");
  CHECK(body.digest() == Digest::of("abc"));
}

TEST_CASE("a body whose hold ends before it is whole is kept until more of it comes") {
  const auto budget = makeBudget();
  RequestBody body({kReplayBytes, /*digests_unkept=*/true, kHeldBytes}, budget);
  body.add("abc");
  body.beginHold();
  body.add(std::string(2 * kReplayBytes, 'x'));
  body.endHold();
  CHECK(body.isKept());
  CHECK(budget->held() == 2 * kReplayBytes + 3);
  body.add("end");
  CHECK_FALSE(body.isKept());
  CHECK(budget->held() == 0);
  CHECK(body.digest() == Digest::of("abc" + std::string(2 * kReplayBytes, 'x') + "end"));
}

// Guards against memory that grows with the number of callers while a crash suspect is known.
TEST_CASE("no more is held than the limits allow, and what was held is returned") {
  const auto budget = makeBudget(5000);
  {
    RequestBody first({kReplayBytes, false, /*max_held_bytes=*/4000}, budget);
    RequestBody second({kReplayBytes, false, /*max_held_bytes=*/4000}, budget);
    first.beginHold();
    first.add(std::string(4000, 'x'));
    CHECK(first.mayHoldMore());
    first.add("x");
    CHECK_FALSE(first.mayHoldMore());
    CHECK(second.mayHoldMore());
    second.beginHold();
    second.add(std::string(999, 'x'));
    CHECK_FALSE(second.mayHoldMore());
    first.clear();
    CHECK(second.mayHoldMore());
    CHECK(budget->held() == 999);
  }
  CHECK(budget->held() == 0);
}

TEST_CASE("a body of which the rest was discarded has no digest") {
  for (const std::size_t size : {kReplayBytes, 2 * kReplayBytes}) {
    RequestBody body({kReplayBytes, /*digests_unkept=*/true, kHeldBytes}, makeBudget());
    body.add(std::string(size, 'x'));
    body.discardRest();
    body.add("more");
    CHECK_FALSE(body.digest().has_value());
  }
}

}  // namespace coursepond::runtime
