#pragma once

/// Stable hashes that spread duties over nodes: every node computes the same order from the same
/// names, and each duty has its own order (rendezvous hashing).

#include <cstdint>
#include <string_view>

namespace coursepond {

/// Separates the orders of different duties.
using RankSalt = std::uint64_t;

/// FNV-1a of the text, well mixed.
std::uint64_t stableHash(std::string_view text);

/// Spreads the bits of `value` (the finalizer of SplitMix64).
std::uint64_t mixBits(std::uint64_t value);

/// The place of a hashed name in the order of a duty; lowest first.
inline std::uint64_t rankOf(std::uint64_t name_hash, RankSalt salt) {
  return mixBits(name_hash ^ mixBits(salt));
}

}  // namespace coursepond
