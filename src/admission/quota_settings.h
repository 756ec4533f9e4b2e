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

  /// Of the even shares of nodes that cannot reach the owner, what they may use. In a fleet that is
  /// cut in two, the side without the owner has at most half of the shares: what it uses beside
  /// the owner's whole quota is then within the overshoot. (Where it has more, most nodes borrow
  /// from a stand-in and the owner lends to few.)
  double unownedPart() const { return std::min(1.0, 2 * overshoot); }
};

}  // namespace coursepond::admission
