#include "proxy/route_table.h"

#include <algorithm>
#include <tuple>

#include "core/ascii.h"

namespace coursepond::proxy {
namespace {

/// Returns the key in HostRoutes::by_prefix.
std::string_view prefixKey(const model::RouteMatch& match) {
  std::string_view prefix = match.path_prefix;
  if (match.prefix_match == model::PrefixMatch::kText) return prefix;
  while (prefix.ends_with('/')) prefix.remove_suffix(1);
  return prefix;
}

/// Returns the longest beginning of `path` that may equal a key of at most `length` characters: the
/// whole path, or a part that ends with a slash or just before one. Longer beginnings cost no
/// lookups, however many slashes the path has.
std::optional<std::string_view> cutToLength(std::string_view path, std::size_t length) {
  if (path.size() <= length) return path;
  const std::size_t slash = path.rfind('/', length);
  if (slash == std::string_view::npos) return std::nullopt;
  return path.substr(0, slash < length ? slash + 1 : slash);
}

/// Returns the next shorter beginning of `path` that a key may equal: it ends with a slash or just
/// before one.
std::optional<std::string_view> shorten(std::string_view path) {
  if (path.ends_with('/')) return path.substr(0, path.size() - 1);
  const std::size_t slash = path.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  return path.substr(0, slash + 1);
}

bool hasHeader(const RequestHead& head, const model::HeaderMatch& match) {
  return std::any_of(head.headers.begin(), head.headers.end(), [&](const HeaderField& field) {
    return field.value == match.value && equalsIgnoringCase(field.name, match.name);
  });
}

bool methodAndHeadersMatch(const model::RouteMatch& match, const RequestHead& head) {
  const bool method_matches =
      match.methods.empty() ||
      std::find(match.methods.begin(), match.methods.end(), head.method) != match.methods.end();
  if (!method_matches) return false;
  return std::all_of(match.headers.begin(), match.headers.end(),
                     [&](const model::HeaderMatch& header) { return hasHeader(head, header); });
}

/// Order of the routes with the same host and prefix.
bool goesBefore(const model::Route& left, const model::Route& right) {
  const auto rank = [](const model::Route& route) {
    return std::make_tuple(route.match.methods.empty(),
                           -static_cast<std::ptrdiff_t>(route.match.headers.size()));
  };
  if (rank(left) != rank(right)) return rank(left) < rank(right);
  return left.name < right.name;
}

}  // namespace

RouteTable::RouteTable(const std::vector<model::Route>& routes) : routes_(routes) {
  for (std::size_t index = 0; index < routes.size(); ++index) {
    const model::RouteMatch& match = routes[index].match;
    const std::string_view prefix = prefixKey(match);
    HostRoutes& host_routes = by_host_[match.host];
    host_routes.longest_prefix = std::max(host_routes.longest_prefix, prefix.size());
    host_routes.by_prefix[prefix].push_back(index);
    const bool is_text = match.prefix_match == model::PrefixMatch::kText;
    (is_text ? host_routes.has_text : host_routes.has_segments) = true;
  }
  for (auto& [host, host_routes] : by_host_) {
    for (auto& [prefix, indexes] : host_routes.by_prefix) {
      std::sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
        return goesBefore(routes_[left], routes_[right]);
      });
    }
  }
}

std::optional<std::size_t> RouteTable::find(const RequestHead& head) const {
  if (!head.host.empty()) {
    if (const auto index = findInHost(head.host, head)) return index;
  }
  return findInHost("", head);
}

std::optional<std::size_t> RouteTable::findInHost(std::string_view host,
                                                  const RequestHead& head) const {
  const auto found = by_host_.find(host);
  if (found == by_host_.end()) return std::nullopt;
  const HostRoutes& host_routes = found->second;

  auto prefix = cutToLength(head.path, host_routes.longest_prefix);
  while (prefix) {
    if (const auto index = findInPrefix(host_routes, *prefix, head)) return index;
    prefix = shorten(*prefix);
  }
  return std::nullopt;
}

std::optional<std::size_t> RouteTable::findInPrefix(const HostRoutes& host_routes,
                                                    std::string_view prefix,
                                                    const RequestHead& head) const {
  const bool may_be_key = prefix.ends_with('/') ? host_routes.has_text : host_routes.has_segments;
  if (!may_be_key) return std::nullopt;
  const auto found = host_routes.by_prefix.find(prefix);
  if (found == host_routes.by_prefix.end()) return std::nullopt;
  for (const std::size_t index : found->second) {
    if (methodAndHeadersMatch(routes_[index].match, head)) return index;
  }
  return std::nullopt;
}

}  // namespace coursepond::proxy
