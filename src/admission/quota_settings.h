#pragma once

#include <algorithm>

namespace coursepond::admission {

struct QuotaSettings {
  /// Fraction by which all nodes together may exceed a quota, as promised to operators.
  double overshoot = 0.25;

  /// Fraction of their even shares that nodes may use while they cannot reach the owner. In a
  /// network partition the owner may lend the whole quota to the few nodes on its side, with all
  /// other nodes on the other side. What these use in addition stays within the overshoot,
  /// whichever side is the smaller one.
  double unownedPart() const { return std::min(1.0, overshoot); }
};

}  // namespace coursepond::admission
