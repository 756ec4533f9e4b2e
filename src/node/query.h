#pragma once

/// Reads the query of a request between nodes.

#include <cstdint>
#include <string_view>

namespace coursepond::node {

/// The number of `name` in a query ("a=1&b=2"); zero when it names none.
std::uint64_t numberOf(std::string_view query, std::string_view name);

}  // namespace coursepond::node
