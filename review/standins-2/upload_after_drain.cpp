/// Case: uploads that wait for their turn at an ingress reach its server long after the server has
/// said that it is draining.

#include "stand_ins.h"

using namespace review;

namespace {

// The sheet of andina-remesas-grown.
constexpr double kDrain = 2.5;
constexpr double kLinkMegabits = 10;
/// What other traffic takes of each link. The uploads of the sheet alone are 53 Mbit/s for 7
/// servers.
constexpr double kOtherTraffic = 2;
constexpr int kSlots = 12;
constexpr std::size_t kUploadBytes = 360'000;
constexpr int kDeadlineMs = 8000;

constexpr std::size_t kServers = 2;
constexpr std::size_t kClientMachines = 17;
constexpr int kUploadsPerMachine = 2;

}  // namespace

int main(int, char** argv) {
  begin(argv[1]);
  Store store;
  Mesh mesh({{"drain", "2500ms"},
             {"config_apply", "2500ms"},
             {"contact", "3000ms"},
             {"grace", "6s"},
             {"retry_budget_ratio", "0.2"},
             {"budget_slack", "188"}},
            "10");
  const std::vector<std::string> zones = {"hall-a", "hall-b", "hall-c"};
  for (std::size_t number = 0; number < kServers + kClientMachines; ++number)
    mesh.add(zones[number % zones.size()], number < kServers ? "recibos" : "cartola");
  for (std::size_t number = 0; number < kServers; ++number)
    mesh.addLink(number, kLinkMegabits - kOtherTraffic);
  store.start(mesh.storeHost());
  store.put("op/config", configurationJson(7, {routeJson("r-upload", "up.example", "/up/", "upload",
                                                         "4000ms", R"("service":"recibos")"),
                                               serviceJson("recibos"), serviceJson("cartola"),
                                               limitsJson(67108864)}));

  std::mutex mutex;
  std::map<std::string, double> heads;  // When each request first arrived at the leaving server.
  std::vector<std::unique_ptr<Server>> servers;
  for (const Mesh::Machine& machine : mesh.machines()) {
    servers.push_back(std::make_unique<Server>(store, machine.link_host, machine.service,
                                               machine.zone,
                                               [](const Message&, const std::string&) {
                                                 return Reaction{200, 400, 0.25};
                                               }));
    servers.back()->slots = kSlots;
    servers.back()->start();
  }
  Server& leaving = *servers[0];
  leaving.on_head = [&](const Message& request, const std::string&) {
    const std::lock_guard<std::mutex> lock(mutex);
    heads.emplace(request.field("Coursepond-Request-Id"), now());
  };
  mesh.startAll();
  sleepFor(4);  // All machines are in touch for longer than `contact`.

  std::vector<std::thread> clients;
  for (std::size_t number = kServers; number < mesh.machines().size(); ++number) {
    for (int count = 0; count < kUploadsPerMachine; ++count) {
      clients.emplace_back([&, number] {
        Request request{nextId(), "POST", "up.example", "/up/file", "", kDeadlineMs};
        request.body.assign(kUploadBytes, 'b');
        ask(mesh.machines()[number], request, "upload");
      });
    }
  }
  sleepFor(0.2);
  const double drained = hasTrouble() ? leaving.drain() : 0;
  for (std::thread& client : clients) client.join();

  std::size_t late = 0;
  double latest = 0;
  for (const auto& [id, at] : heads) {
    if (drained == 0 || at <= drained + kDrain) continue;
    ++late;
    latest = std::max(latest, at - drained);
    record("late: " + id + " reached the server " + std::to_string(at - drained) +
           " s after the store took `draining`");
  }
  std::ostringstream result;
  result << late << " of " << heads.size() << " uploads reached the server later than " << kDrain
         << " s after the acknowledgement, the last one after " << latest << " s";
  finish(late > 0 ? kExitBroken : kExitHeld, result.str());
}
