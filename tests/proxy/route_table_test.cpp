#include "proxy/route_table.h"

#include <doctest/doctest.h>

namespace coursepond::proxy {
namespace {

model::Route route(const std::string& name, const std::string& host, const std::string& prefix) {
  model::Route route;
  route.name = RouteName(name);
  route.match.host = host;
  route.match.path_prefix = prefix;
  return route;
}

model::Route textRoute(const std::string& name, const std::string& prefix) {
  model::Route result = route(name, "", prefix);
  result.match.prefix_match = model::PrefixMatch::kText;
  return result;
}

RequestHead request(const std::string& host, const std::string& path) {
  RequestHead head;
  head.method = "GET";
  head.host = host;
  head.path = path;
  return head;
}

std::string found(const std::vector<model::Route>& routes, const RequestHead& head) {
  const RouteTable table(routes);
  const auto index = table.find(head);
  return index ? routes[*index].name.value() : "none";
}

}  // namespace

TEST_CASE("a prefix matches whole segments only") {
  const std::vector<model::Route> routes = {route("fonts", "", "/fonts"),
                                            route("slash", "", "/maps/")};
  CHECK(found(routes, request("h", "/fonts")) == "fonts");
  CHECK(found(routes, request("h", "/fonts/a/b")) == "fonts");
  CHECK(found(routes, request("h", "/fontsize")) == "none");
  CHECK(found(routes, request("h", "/font")) == "none");
  CHECK(found(routes, request("h", "/maps")) == "slash");
  CHECK(found(routes, request("h", "/maps/x")) == "slash");
  CHECK(found(routes, request("h", "")) == "none");
  CHECK(found(routes, request("h", "*")) == "none");
}

// Guards against a request that runs at the service of a route whose prefix does not begin its
// path.
TEST_CASE("a text prefix does not match the path without its trailing slash") {
  const std::vector<model::Route> routes = {textRoute("seats", "/grants/seats/"),
                                            textRoute("grants", "/grants/")};
  CHECK(found(routes, request("h", "/grants/seats")) == "grants");
  CHECK(found(routes, request("h", "/grants/seats/")) == "seats");
  CHECK(found(routes, request("h", "/grants/seats/a/b")) == "seats");
  CHECK(found(routes, request("h", "/grants/seats//a")) == "seats");
  CHECK(found(routes, request("h", "/grants/seatsale")) == "grants");
  CHECK(found(routes, request("h", "/grants//seats/a")) == "grants");
  CHECK(found(routes, request("h", "/grants")) == "none");
  CHECK(found(routes, request("h", "//grants/seats/a")) == "none");
  CHECK(found(routes, request("h", "")) == "none");
  CHECK(found(routes, request("h", "*")) == "none");
}

TEST_CASE("text prefixes match slash by slash") {
  const std::vector<model::Route> routes = {textRoute("double", "/a//"), textRoute("root", "/")};
  CHECK(found(routes, request("h", "/a//b")) == "double");
  CHECK(found(routes, request("h", "/a//")) == "double");
  CHECK(found(routes, request("h", "/a/b")) == "root");
  CHECK(found(routes, request("h", "/a/")) == "root");
  CHECK(found(routes, request("h", "/" + std::string(100000, '/'))) == "root");
  CHECK(found(routes, request("h", "/" + std::string(100000, 'a'))) == "root");
}

TEST_CASE("of a text and a segment prefix for the same path, the longer one takes precedence") {
  const std::vector<model::Route> routes = {textRoute("below", "/a/"), route("whole", "", "/a")};
  CHECK(found(routes, request("h", "/a")) == "whole");
  CHECK(found(routes, request("h", "/a/")) == "below");
  CHECK(found(routes, request("h", "/a/b")) == "below");
}

TEST_CASE("a specific host takes precedence over a longer prefix for any host") {
  const std::vector<model::Route> routes = {route("any", "", "/a/b/c"), route("host", "h", "/a"),
                                            route("root", "", "/")};
  CHECK(found(routes, request("h", "/a/b/c")) == "host");
  CHECK(found(routes, request("other", "/a/b/c/d")) == "any");
  CHECK(found(routes, request("h", "/x")) == "root");
}

TEST_CASE("for the same host, the longest prefix takes precedence") {
  const std::vector<model::Route> routes = {route("root", "", "/"), route("a", "", "/a"),
                                            route("ab", "", "/a/b")};
  CHECK(found(routes, request("", "/a/b/x")) == "ab");
  CHECK(found(routes, request("", "/a/bx")) == "a");
  CHECK(found(routes, request("", "/" + std::string(100000, '/'))) == "root");
}

TEST_CASE("routes with methods take precedence over those with headers, then the name decides") {
  std::vector<model::Route> routes = {route("z-plain", "", "/a"), route("y-header", "", "/a"),
                                      route("x-method", "", "/a"), route("b-plain", "", "/a")};
  routes[1].match.headers = {{"X-Tier", "gold"}};
  routes[2].match.methods = {"POST"};
  RequestHead head = request("", "/a");
  CHECK(found(routes, head) == "b-plain");
  head.headers = {{"x-tier", "gold"}};
  CHECK(found(routes, head) == "y-header");
  head.method = "POST";
  CHECK(found(routes, head) == "x-method");
}

TEST_CASE("a shorter prefix is used if the route with the longer one does not match completely") {
  std::vector<model::Route> routes = {route("write", "", "/a/b"), route("all", "", "/a")};
  routes[0].match.methods = {"POST"};
  CHECK(found(routes, request("", "/a/b")) == "all");
}

}  // namespace coursepond::proxy
