/// A node that is being stopped gets a second SIGTERM within its grace, because the server beside
/// it has ended as well. Requests that it has passed on must still be answered.

#include <csignal>
#include <future>

#include "deployment.h"

namespace {

using namespace review;

constexpr char kClients[] = "catalog";
constexpr char kGrants[] = "licensing";
constexpr char kFonts[] = "typeserve";
constexpr char kGrantPath[] = "/xapu221/ny95/seat?work_ms=1500";
constexpr int kRequests = 6;
constexpr int kDeadlineMs = 4000;
constexpr Milliseconds kReadyTimeout(10'000);
/// Bounds `drain` and `grace`.
constexpr Milliseconds kDrain(2000);
constexpr Milliseconds kGrace(6000);

Outcome grant(Deployment& deployment, const std::string& id) {
  const Outcome outcome =
      ask(deployment.machine(0).outbound, request("POST", kGrantPath, id, kDeadlineMs, "one seat"),
          Milliseconds(kDeadlineMs + 500));
  deployment.record().write("client: POST " + std::string(kGrantPath) + " " + id + " -> " +
                            outcome.text());
  return outcome;
}

Verdict play(Deployment& deployment) {
  std::vector<std::unique_ptr<Server>> servers;
  for (std::size_t index = 0; index < deployment.machines(); ++index) {
    servers.push_back(deployment.startServer(index, deployment.machine(index).service,
                                             "i-" + std::to_string(index + 1)));
  }
  Server& leaving = *servers.front();
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
  std::this_thread::sleep_for(Milliseconds(3500));

  // The server of machine 0 is taken away (scale_in), and its node is stopped in turn (roll_term).
  leaving.writeEntry("draining");
  std::this_thread::sleep_for(kDrain + Milliseconds(300));
  Process& node = *deployment.machine(0).node;
  node.signal(SIGTERM);
  deployment.record().write("SIGTERM to node " + deployment.machine(0).name +
                            ": it is stopped in turn");
  std::this_thread::sleep_for(Milliseconds(200));
  std::vector<std::future<Outcome>> outcomes;
  for (int number = 0; number < kRequests; ++number) {
    outcomes.push_back(std::async(std::launch::async, [&deployment, number] {
      return grant(deployment, "grant" + std::to_string(number));
    }));
  }
  std::this_thread::sleep_for(Milliseconds(700));
  leaving.crash();
  leaving.removeEntry();
  if (playsTrouble()) {
    node.signal(SIGTERM);
    deployment.record().write("SIGTERM to node " + deployment.machine(0).name +
                              ": its server has ended");
  }

  int lost = 0;
  for (int number = 0; number < kRequests; ++number) {
    const Outcome outcome = outcomes[static_cast<std::size_t>(number)].get();
    const bool was_passed_on = !deployment.runs().of("grant" + std::to_string(number)).empty();
    if (outcome.was_cut && was_passed_on) ++lost;
  }
  deployment.record().write(std::to_string(lost) + " of " + std::to_string(kRequests) +
                            " requests were passed on to a server and closed without an answer");
  if (!node.endsWithin(kGrace)) return Verdict::kCouldNotRun;
  return lost > 0 ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return review::runCase(argc, argv,
                         {kClients, kClients, kClients, kClients, kGrants, kGrants, kGrants,
                          kGrants, kFonts, kFonts, kFonts, kFonts},
                         &play);
}
