#pragma once

#include <algorithm>

namespace coursepond::admission {

struct QuotaSettings {
  /// By what part of itself all nodes together may exceed a quota, as operators are promised.
  double overshoot = 0.25;

  /// Of the even shares of nodes that cannot reach the owner, what they may use. The owner may lend
  /// the whole quota to however few it is left with, and all other nodes be on the other side: what
  /// these use beside it is within the overshoot whichever side is the smaller.
  double unownedPart() const { return std::min(1.0, overshoot); }
};

}  // namespace coursepond::admission
