#pragma once

/// Parses query strings of requests between nodes.

#include <cstdint>
#include <string_view>

namespace coursepond::node {

/// Returns the value of parameter `name` in a query ("a=1&b=2") as a number, or zero if it is
/// missing or not a number.
std::uint64_t parseNumber(std::string_view query, std::string_view name);

}  // namespace coursepond::node
