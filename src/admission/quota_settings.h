#pragma once

#include <algorithm>

namespace coursepond::admission {

/// How nodes share the quota of a tenant.
enum class QuotaSharing {
  kLent,  ///< An owner lends tokens to the nodes that need them.
  kEven,  ///< Each node keeps to its even share. For measurement.
};

struct QuotaSettings {
  QuotaSharing sharing = QuotaSharing::kLent;
  /// By what part of itself all nodes together may exceed a quota, as operators are promised.
  double overshoot = 0.25;

  /// Of the even shares of nodes that cannot reach the owner, what they may use. The owner may lend
  /// the whole quota to however few it is left with, and all other nodes be on the other side: what
  /// these use beside it is within the overshoot whichever side is the smaller.
  double unownedPart() const { return std::min(1.0, overshoot); }
};

}  // namespace coursepond::admission
