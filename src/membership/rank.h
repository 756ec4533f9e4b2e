#pragma once

/// Salts for the rankings that assign roles and ring positions to members.

#include "core/ids.h"
#include "core/rank.h"

namespace coursepond::membership {

using coursepond::mixBits;
using coursepond::rankOf;
using coursepond::stableHash;

inline constexpr RankSalt kReaderSalt = 0x1001;
inline constexpr RankSalt kDistributorSalt = 0x1002;
inline constexpr RankSalt kVoterSalt = 0x1003;
inline constexpr RankSalt kRingSalt = 0x2000;  ///< The ring number is added.

}  // namespace coursepond::membership
