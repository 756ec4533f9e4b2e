#pragma once

/// The orders in which members take up their duties.

#include "core/ids.h"
#include "core/rank.h"

namespace coursepond::membership {

using coursepond::mixBits;
using coursepond::rankOf;
using coursepond::stableHash;

inline constexpr RankSalt kReaderSalt = 0x1001;
inline constexpr RankSalt kDistributorSalt = 0x1002;
inline constexpr RankSalt kVoterSalt = 0x1003;
inline constexpr RankSalt kRingSalt = 0x2000;  ///< Plus the number of the ring.

}  // namespace coursepond::membership
