/// A new version adds a route below another one. A path that only begins the new route's prefix
/// still belongs to the first route.

#include "deployment.h"

namespace {

using namespace review;

constexpr char kGrants[] = "licensing";
constexpr char kCatalog[] = "catalog";
/// Begun by "/xapu221/", and not by "/xapu221/ny95/".
constexpr char kGrantPath[] = "/xapu221/ny95?work_ms=30";
constexpr int kDeadlineMs = 2000;
constexpr Milliseconds kReadyTimeout(10'000);
/// Bound `config_apply`, and some more.
constexpr Milliseconds kConfigApply(3000);

void grant(Deployment& deployment, const std::string& id) {
  const Outcome outcome =
      ask(deployment.machine(0).outbound, request("POST", kGrantPath, id, kDeadlineMs, "one seat"),
          Milliseconds(kDeadlineMs + 500));
  deployment.record().write("client: POST " + std::string(kGrantPath) + " " + id + " -> " +
                            outcome.text() + (outcome.answer ? ", " + outcome.answer->body : ""));
}

Verdict play(Deployment& deployment) {
  const auto catalog = deployment.startServer(0, kCatalog, "i-c1");
  const auto licensing = deployment.startServer(1, kGrants, "i-l1");
  const auto second = deployment.startServer(2, kGrants, "i-l2");
  const std::vector<std::string> services{kCatalog, kGrants};
  const Route grants{"r-grant", "/xapu221/", "unsafe", kGrants};
  deployment.store().put("op/config", configuration(7, {grants}, services));
  for (Server* const server : {catalog.get(), licensing.get(), second.get()}) {
    if (!server->isListening()) return Verdict::kCouldNotRun;
    server->writeEntry("ready");
  }
  for (std::size_t index = 0; index < deployment.machines(); ++index) deployment.startNode(index);
  for (std::size_t index = 0; index < deployment.machines(); ++index) {
    if (!deployment.becomesReady(index, kReadyTimeout)) return Verdict::kCouldNotRun;
  }
  for (int number = 0; number < 5; ++number) grant(deployment, "before" + std::to_string(number));
  if (playsTrouble()) {
    const Route added{"r-added", "/xapu221/ny95/", "unsafe", kCatalog};
    deployment.store().put("op/config", configuration(9, {grants, added}, services));
  }
  std::this_thread::sleep_for(kConfigApply);
  for (int number = 0; number < 10; ++number) grant(deployment, "grant" + std::to_string(number));

  int wrong = 0;
  for (const Run& run : deployment.runs().all()) {
    if (run.service != kGrants) ++wrong;
  }
  deployment.record().write(std::to_string(wrong) + " requests for " + kGrants +
                            " were run by a server of " + kCatalog);
  return wrong > 0 ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return review::runCase(argc, argv, {kCatalog, kGrants, kGrants}, &play);
}
