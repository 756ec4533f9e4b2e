#include "node/query.h"

#include <algorithm>
#include <charconv>

namespace coursepond::node {

std::uint64_t parseNumber(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view item = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const bool is_named =
        item.size() > name.size() && item.starts_with(name) && item[name.size()] == '=';
    if (!is_named) continue;
    std::uint64_t number = 0;
    std::from_chars(item.data() + name.size() + 1, item.data() + item.size(), number);
    return number;
  }
  return 0;
}

}  // namespace coursepond::node
