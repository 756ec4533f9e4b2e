#include <doctest/doctest.h>

#include <string>

#include "control/control_mesh.h"

namespace coursepond::testing {
namespace {

using namespace std::chrono_literals;

struct SmallMesh : ControlMesh {
  SmallMesh() : ControlMesh(1, 2) {
    settings.zones = zone_ids;
    settings.seeds = {listed(node("a0")), listed(node("a1"))};
    publish(1, 3);
    startAll();
    REQUIRE(runUntilInForce(1, 60s));
    time.runFor(3s);
  }

  void checkError(const ApiResponse& answer, int status, const std::string& kind) {
    CHECK_MESSAGE(answer.status == status, answer.text);
    CHECK(answer.body["error"]["kind"] == kind);
    CHECK_FALSE(answer.body["error"]["message"].get<std::string>().empty());
    CHECK_FALSE(answer.body["error"]["remedy"].get<std::string>().empty());
  }
};

TEST_CASE_FIXTURE(SmallMesh, "every resource requires the token") {
  const std::vector<std::pair<std::string, std::string>> resources = {
      {"POST", "/v1/plans"}, {"GET", "/v1/plans/x"}, {"POST", "/v1/plans/x/confirm"},
      {"GET", "/v1/status"}, {"GET", "/v1/proxies"}, {"GET", "/nowhere"}};
  for (const auto& [method, path] : resources) {
    for (const std::string& token :
         {std::string(), std::string("operator-toke"), std::string("operator-tokens"),
          std::string("Operator-token")}) {
      checkError(await(ask("a0", method, path, R"({"version":1})", token)), 401, "unauthorized");
    }
  }
  CHECK(node("a0").plane->statistics().admin_unauthorized == resources.size() * 4);
}

TEST_CASE("without a configured token the API refuses every request") {
  ControlMesh mesh(1, 1);
  mesh.settings.admin.bearer_token = "";
  mesh.start("a0");
  CHECK(mesh.await(mesh.ask("a0", "GET", "/v1/status", "", "")).status == 401);
}

TEST_CASE_FIXTURE(SmallMesh, "invalid requests are refused with a remedy") {
  checkError(call("a0", "GET", "/v1/plan"), 404, "not_found");
  checkError(call("a0", "DELETE", "/v1/plans"), 404, "not_found");
  checkError(call("a0", "POST", "/v1/plans/x"), 404, "not_found");
  checkError(call("a0", "GET", "/v1/plans/x"), 404, "not_found");
  checkError(call("a0", "POST", "/v1/plans/x/confirm"), 404, "not_found");
  for (const char* body :
       {"", "{", "[]", "{}", R"({"version":0})", R"({"version":-1})", R"({"version":1.5})",
        R"({"version":"old"})", R"({"version":null})", R"({"version":2,"force":true})"}) {
    CAPTURE(body);
    checkError(call("a0", "POST", "/v1/plans", body), 400, "invalid_argument");
  }
}

TEST_CASE_FIXTURE(SmallMesh,
                  "versions that are already accepted or not published cannot be planned") {
  checkError(plan("a0", 1), 409, "version_regression");
  checkError(call("a0", "POST", "/v1/plans", R"({"version":"newest"})"), 409, "version_regression");
  checkError(plan("a1", 5), 404, "not_found");
}

TEST_CASE_FIXTURE(SmallMesh, "a plan is reported as outdated once another plan is accepted") {
  publish(2, 4);
  time.runFor(3s);
  publish(3, 5);
  time.runFor(3s);
  const std::string second = plan("a0", 2).body["id"];
  const std::string third = plan("a1", 3).body["id"];
  CHECK(call("a1", "GET", "/v1/plans/" + second).body["status"] == "open");
  REQUIRE(confirm("a0", second).status == 200);
  time.runFor(1s);
  CHECK(call("a1", "GET", "/v1/plans/" + third).body["status"] == "outdated");
  checkError(confirm("a1", third), 409, "base_mismatch");
  const std::string renewed = plan("a0", 3).body["id"];
  CHECK(renewed != third);
  REQUIRE(confirm("a0", renewed).status == 200);
  time.runFor(1s);
  CHECK(call("a0", "GET", "/v1/plans/" + second).body["status"] == "superseded");
  checkError(confirm("a0", second), 409, "version_regression");
}

TEST_CASE_FIXTURE(SmallMesh,
                  "a version whose content was changed after planning is not confirmed") {
  publish(2, 4);
  time.runFor(3s);
  const std::string id = plan("a0", 2).body["id"];
  const std::string other = id.substr(0, id.size() - 1) + (id.back() == '0' ? "1" : "0");
  checkError(confirm("a0", other), 409, "digest_mismatch");
  CHECK(confirm("a0", id).status == 200);
}

TEST_CASE_FIXTURE(SmallMesh, "no answer and no event contains the value of a secret") {
  publish(2, 4);
  time.runFor(3s);
  const ApiResponse planned = plan("a0", 2);
  const std::string id = planned.body["id"];
  for (const ApiResponse& answer :
       {planned, confirm("a0", id), call("a0", "GET", "/v1/plans/" + id),
        call("a1", "GET", "/v1/status"), call("a1", "GET", "/v1/proxies")}) {
    CHECK(answer.text.find(kSecretValue) == std::string::npos);
  }
  CHECK_FALSE(node("a0").secret_leaked);
  CHECK_FALSE(node("a1").secret_leaked);
}

TEST_CASE_FIXTURE(SmallMesh, "requests above the concurrency limit are refused") {
  network.setFilter([](const auto&, const auto&, const auto&) { return true; });
  std::vector<ControlMesh::Pending> asked;
  for (int i = 0; i < 70; ++i) {
    asked.push_back(ask("a0", "GET", "/v1/proxies"));
  }
  checkError(await(asked.back()), 429, "overloaded");
  CHECK(await(asked.front()).status == 200);
  CHECK(call("a0", "GET", "/v1/proxies").status == 200);
}

}  // namespace
}  // namespace coursepond::testing
