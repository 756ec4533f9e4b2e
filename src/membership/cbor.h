#pragma once

/// Parsing of CBOR from untrusted input.

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>

namespace coursepond {

/// Maximum nesting depth. Deeper values are rejected so that they cannot exhaust the stack.
inline constexpr std::size_t kMaximumCborDepth = 12;

/// Returns the value that `bytes` encode, or nullopt if they are not exactly one well-formed CBOR
/// value of at most the maximum depth. Never throws.
std::optional<nlohmann::json> parseCbor(std::string_view bytes);

}  // namespace coursepond
