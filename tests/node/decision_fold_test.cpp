#include "node/decision_fold.h"

#include <doctest/doctest.h>

namespace coursepond::node {
namespace {

proxy::Decision makeDecision(std::string_view side, std::string_view reason) {
  proxy::Decision decision;
  decision.kind = proxy::DecisionKind::kAnsweredItself;
  decision.side = side;
  decision.reason = reason;
  return decision;
}

}  // namespace

TEST_CASE("decisions over the limit of a second are counted by side, kind and reason") {
  DecisionFold fold(3);
  int lines = 0;
  for (int number = 0; number < 10; ++number) {
    if (fold.admit(makeDecision(proxy::kEgressSide, "queue_full"))) ++lines;
    if (fold.admit(makeDecision(proxy::kIngressSide, "queue_full"))) ++lines;
  }
  CHECK(fold.admit(makeDecision(proxy::kEgressSide, "no_server")));
  CHECK(lines == 6);
  const std::vector<FoldedDecisions> folded = fold.nextSecond();
  REQUIRE(folded.size() == 2);
  CHECK(folded[0].side == proxy::kEgressSide);
  CHECK(folded[0].reason == "queue_full");
  CHECK(folded[0].count == 7);
  CHECK(folded[1].side == proxy::kIngressSide);
}

TEST_CASE("the limit and the counts restart every second") {
  DecisionFold fold(1);
  CHECK(fold.admit(makeDecision(proxy::kEgressSide, "no_server")));
  CHECK_FALSE(fold.admit(makeDecision(proxy::kEgressSide, "no_server")));
  CHECK(fold.nextSecond().size() == 1);
  CHECK(fold.nextSecond().empty());
  CHECK(fold.admit(makeDecision(proxy::kEgressSide, "no_server")));
}

}  // namespace coursepond::node
