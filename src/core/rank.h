#pragma once

/// Rendezvous hashing: assigns duties to nodes by stable hashes. Every node computes the same order
/// from the same names, and each duty has its own order.

#include <cstdint>
#include <string_view>

namespace coursepond {

/// Makes the orders of different duties independent of each other.
using RankSalt = std::uint64_t;

/// Returns the FNV-1a hash of the text, passed through mixBits.
std::uint64_t stableHash(std::string_view text);

/// Mixes the bits of `value` (the finalizer of SplitMix64).
std::uint64_t mixBits(std::uint64_t value);

/// Returns the rank of a hashed name for the duty with this salt. The lowest rank comes first.
inline std::uint64_t rankOf(std::uint64_t name_hash, RankSalt salt) {
  return mixBits(name_hash ^ mixBits(salt));
}

}  // namespace coursepond
