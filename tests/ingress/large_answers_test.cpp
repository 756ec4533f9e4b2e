#include "ingress/large_answers.h"

#include <doctest/doctest.h>

namespace coursepond::ingress {
namespace {

using std::chrono::milliseconds;

constexpr Duration kFiles = milliseconds(1000);
constexpr Duration kLookups = milliseconds(250);

}  // namespace

TEST_CASE("large answers are predicted from earlier ones, separately for each target latency") {
  const LargeAnswerSettings settings;
  LargeAnswers answers;
  CHECK_FALSE(answers.expectsLarge(settings, kFiles));
  answers.onAnswer(settings, kFiles, 90'000);
  answers.onAnswer(settings, kLookups, 1'500);
  CHECK(answers.expectsLarge(settings, kFiles));
  CHECK_FALSE(answers.expectsLarge(settings, kLookups));
  // The prediction follows changed sizes.
  for (int count = 0; count < 100; ++count) answers.onAnswer(settings, kFiles, 1'000);
  CHECK_FALSE(answers.expectsLarge(settings, kFiles));
}

TEST_CASE("a link without answers that wait to be sent has no backlog") {
  const LargeAnswerSettings settings;
  LargeAnswers answers;
  for (std::size_t count = 0; count < 10; ++count) answers.onRunning();
  CHECK_FALSE(answers.isLinkBacklogged(settings));
}

TEST_CASE("while a large answer is being sent, the number of further ones is limited") {
  const LargeAnswerSettings settings;
  LargeAnswers answers;
  answers.onSending();
  CHECK_FALSE(answers.isLinkBacklogged(settings));
  answers.onRunning();
  answers.onRunning();
  CHECK(answers.isLinkBacklogged(settings));
  answers.onSent();
  CHECK_FALSE(answers.isLinkBacklogged(settings));
  answers.onNotRunning();
  answers.onSending();
  CHECK_FALSE(answers.isLinkBacklogged(settings));
}

}  // namespace coursepond::ingress
