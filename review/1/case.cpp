/// The address of a server that crashed goes to a server of another service. Unsafe requests for
/// the first service must not run there.

#include <csignal>

#include "deployment.h"

namespace {

using namespace review;

constexpr char kClients[] = "catalog";
constexpr char kGrants[] = "licensing";
constexpr char kFonts[] = "typeserve";
/// The machine whose server ends: the one of licensing in the zone of the clients' machine.
constexpr std::size_t kEnding = 4;
constexpr char kGrantPath[] = "/xapu221/ny95/seat?work_ms=30";
constexpr Milliseconds kTerminateAfter(1500);
/// Bound `reuse_after`, and a little more.
constexpr Milliseconds kReuseAfter(2100);
/// Three heartbeats.
constexpr Milliseconds kEntryLifetime(4500);
constexpr Milliseconds kReadyTimeout(10'000);
constexpr int kDeadlineMs = 1500;

void waitUntil(Deployment& deployment, Milliseconds time) {
  const Milliseconds now = deployment.record().now();
  if (time > now) std::this_thread::sleep_for(time - now);
}

void grant(Deployment& deployment, const std::string& id) {
  const Outcome outcome =
      ask(deployment.machine(0).outbound, request("POST", kGrantPath, id, kDeadlineMs, "one seat"),
          Milliseconds(kDeadlineMs + 500));
  deployment.record().write("client: POST " + std::string(kGrantPath) + " " + id + " -> " +
                            outcome.text() + (outcome.answer ? ", " + outcome.answer->body : ""));
}

Verdict play(Deployment& deployment) {
  std::vector<std::unique_ptr<Server>> servers;
  for (std::size_t index = 0; index < deployment.machines(); ++index) {
    servers.push_back(deployment.startServer(index, deployment.machine(index).service,
                                             "i-" + std::to_string(index + 1)));
  }
  Server& crashing = *servers.at(kEnding);
  deployment.store().put("op/config",
                         configuration(7,
                                       {{"r-read", "/lepu270/", "safe", kClients},
                                        {"r-grant", "/xapu221/ny95/", "unsafe", kGrants}},
                                       {kClients, kGrants, kFonts}));
  for (const std::unique_ptr<Server>& server : servers) {
    if (!server->isListening()) return Verdict::kCouldNotRun;
    server->writeEntry("ready");
  }
  for (std::size_t index = 0; index < deployment.machines(); ++index) deployment.startNode(index);
  for (std::size_t index = 0; index < deployment.machines(); ++index) {
    if (!deployment.becomesReady(index, kReadyTimeout)) return Verdict::kCouldNotRun;
  }
  waitUntil(deployment, Milliseconds(4000));
  for (int number = 0; number < 5; ++number) grant(deployment, "before" + std::to_string(number));

  const Milliseconds start = deployment.record().now();
  std::unique_ptr<Server> successor;
  if (playsTrouble()) {
    crashing.crash();
    waitUntil(deployment, start + kTerminateAfter);
    deployment.machine(kEnding).node->signal(SIGTERM);
    deployment.record().write("SIGTERM to node " + deployment.machine(kEnding).name +
                              ": its server has ended");
    waitUntil(deployment, start + kReuseAfter);
    successor = deployment.startServer(kEnding, kClients, "i-successor");
    if (!successor->isListening()) return Verdict::kCouldNotRun;
    successor->writeEntry("ready");
  }
  for (int number = 0; number < 20; ++number) {
    waitUntil(deployment, start + kReuseAfter + number * Milliseconds(100));
    grant(deployment, "grant" + std::to_string(number));
  }
  waitUntil(deployment, start + kEntryLifetime);
  if (playsTrouble()) crashing.removeEntry();

  int wrong = 0;
  for (const Run& run : deployment.runs().all()) {
    if (run.method == "POST" && run.service != kGrants) ++wrong;
  }
  deployment.record().write(std::to_string(wrong) + " unsafe requests for " + kGrants +
                            " were run by a server of " + kClients);
  return wrong > 0 ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return review::runCase(argc, argv,
                         {kClients, kClients, kClients, kClients, kGrants, kGrants, kGrants,
                          kGrants, kFonts, kFonts, kFonts, kFonts},
                         &play);
}
