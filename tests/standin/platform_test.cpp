#include "platform.h"

#include <doctest/doctest.h>

#include "standin/fakes.h"

namespace coursepond::standin {

namespace {

constexpr char kMachines[] =
    R"({"generation": 4,
        "nodes": [{"id": "n1", "zone": "a", "address": "127.0.0.1:1", "state": "live"}],
        "backends": [{"id": "b1", "service": "s", "zone": "a", "address": "127.0.0.1:2"}]})";

Platform makePlatform() {
  Platform platform;
  platform.addConfiguration(Version(1), R"({"version": 1})");
  platform.addConfiguration(Version(2), R"({"version": 2})");
  REQUIRE(platform.publish(Version(1)).has_value());
  platform.replaceMachines(*parseMachineList(kMachines));
  return platform;
}

HttpReply get(Platform& platform, const std::string& path, const std::string& tag = "") {
  HttpRequest request{"GET", path, "", {}, ""};
  if (!tag.empty()) request.headers.push_back({"If-None-Match", tag});
  return platform.handle(request).reply;
}

HttpReply post(Platform& platform, const std::string& path, const std::string& body) {
  return platform.handle({"POST", path, "", {}, body}).reply;
}

}  // namespace

TEST_CASE("only published versions are served, and unchanged documents yield 304") {
  Platform platform = makePlatform();
  CHECK(get(platform, "/v1/configurations").body == R"({"newest":1})");
  CHECK(get(platform, "/v1/configurations/2").status == 404);
  const HttpReply first = get(platform, "/v1/configurations/1");
  CHECK(first.body == R"({"version": 1})");
  const std::string tag = replyHeader(first, "ETag");
  CHECK(get(platform, "/v1/configurations/1", tag).status == 304);
  CHECK(post(platform, "/control/publish", R"({"version": 2})").status == 200);
  CHECK(get(platform, "/v1/configurations").body == R"({"newest":2})");
  CHECK(post(platform, "/control/publish", R"({"version": 3})").status == 404);
  CHECK(platform.statistics().configuration_reads == 3);
  CHECK(platform.statistics().not_modified == 1);
}

TEST_CASE("every change of the machine list increases its generation") {
  Platform platform = makePlatform();
  CHECK(platform.generation() == Generation(4));
  CHECK(post(platform, "/control/machines/state", R"({"id": "b1", "state": "leaving"})").status ==
        200);
  CHECK(get(platform, "/v1/machines").body.find(R"("state":"leaving")") != std::string::npos);
  CHECK(post(platform, "/control/machines/state", R"({"id": "b1", "state": "gone"})").status ==
        200);
  CHECK(get(platform, "/v1/machines").body.find("b1") == std::string::npos);
  CHECK(post(platform, "/control/machines", kMachines).status == 200);
  CHECK(platform.generation() == Generation(7));
  CHECK(post(platform, "/control/machines/state", R"({"id": "x", "state": "gone"})").status == 404);
  CHECK(post(platform, "/control/machines/state", R"({"id": 3, "state": "gone"})").status == 400);
  CHECK(post(platform, "/control/machines", "[").status == 400);
}

TEST_CASE("a stale platform serves its old state, a regressing one an older version") {
  Platform platform = makePlatform();
  post(platform, "/control/publish", R"({"version": 2})");
  post(platform, "/control/fault", R"({"mode": "regressing"})");
  CHECK(get(platform, "/v1/configurations").body == R"({"newest":1})");
  post(platform, "/control/publish", R"({"version": 1})");
  post(platform, "/control/fault", R"({"mode": "stale"})");
  post(platform, "/control/publish", R"({"version": 2})");
  CHECK(get(platform, "/v1/configurations").body == R"({"newest":1})");
  post(platform, "/control/fault", R"({"mode": "none"})");
  CHECK(get(platform, "/v1/configurations").body == R"({"newest":2})");
}

TEST_CASE("platform faults affect reads but not the control endpoints") {
  Platform platform = makePlatform();
  const HttpRequest read{"GET", "/v1/configurations", "", {}, ""};
  post(platform, "/control/fault", R"({"mode": "refuse"})");
  CHECK(platform.handle(read).delivery == PlatformReply::Delivery::kAbort);
  post(platform, "/control/fault", R"({"mode": "hang"})");
  CHECK(platform.handle(read).delivery == PlatformReply::Delivery::kHang);
  post(platform, "/control/fault", R"({"mode": "truncated"})");
  CHECK(get(platform, "/v1/configurations").body == R"({"newe)");
  post(platform, "/control/fault", R"({"mode": "invalid_version"})");
  CHECK(get(platform, "/v1/configurations").body == R"({"newest":"seven"})");
  post(platform, "/control/fault", R"({"mode": "none", "delay_ms": 30})");
  CHECK(platform.handle(read).delay == std::chrono::milliseconds(30));
  CHECK(post(platform, "/control/fault", R"({"mode": "nonsense"})").status == 400);
  CHECK(platform.statistics().failed == 4);
}

}  // namespace coursepond::standin
