#include "ingress/large_answers.h"

#include <doctest/doctest.h>

namespace coursepond::ingress {
namespace {

using std::chrono::milliseconds;

constexpr Duration kFiles = milliseconds(1000);
constexpr Duration kLookups = milliseconds(250);

}  // namespace

TEST_CASE("what answers will be large is known by the ones before it, for each kind apart") {
  const LargeAnswerSettings settings;
  LargeAnswers answers;
  CHECK_FALSE(answers.expectsLarge(settings, kFiles));
  answers.onAnswer(settings, kFiles, 90'000);
  answers.onAnswer(settings, kLookups, 1'500);
  CHECK(answers.expectsLarge(settings, kFiles));
  CHECK_FALSE(answers.expectsLarge(settings, kLookups));
  // Sizes that change are followed.
  for (int count = 0; count < 100; ++count) answers.onAnswer(settings, kFiles, 1'000);
  CHECK_FALSE(answers.expectsLarge(settings, kFiles));
}

TEST_CASE("a link that takes answers as they are made is never behind") {
  const LargeAnswerSettings settings;
  LargeAnswers answers;
  for (std::size_t count = 0; count < 10; ++count) answers.onRunning();
  CHECK_FALSE(answers.isBehind(settings));
}

TEST_CASE("while one waits to be sent, few more are made") {
  const LargeAnswerSettings settings;
  LargeAnswers answers;
  answers.onSending();
  CHECK_FALSE(answers.isBehind(settings));
  answers.onRunning();
  answers.onRunning();
  CHECK(answers.isBehind(settings));
  answers.onSent();
  CHECK_FALSE(answers.isBehind(settings));
  answers.onNotRunning();
  answers.onSending();
  CHECK_FALSE(answers.isBehind(settings));
}

}  // namespace coursepond::ingress
