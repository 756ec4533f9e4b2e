/// Case: after a version that raises `max_body_bytes`, a node refuses proper requests on the
/// connections that its clients kept, by the limit of the version before.

#include "stand_ins.h"

using namespace review;

namespace {

constexpr std::size_t kLowLimit = 65'536;
constexpr std::size_t kHighLimit = 1'048'576;
constexpr std::size_t kLargeBody = 200'000;
constexpr double kConfigApply = 2.0;
constexpr int kClientsPerMachine = 10;
constexpr int kSmallRequests = 20;
constexpr double kInterval = 0.5;

std::string configuration(int version, std::size_t limit) {
  return configurationJson(version,
                           {routeJson("r-grant", "fonts.example", "/grant/", "unsafe", "2500ms",
                                      R"("service":"licensing")"),
                            serviceJson("licensing"), serviceJson("catalog"), limitsJson(limit)});
}

}  // namespace

int main(int, char** argv) {
  begin(argv[1]);
  Store store;
  Mesh mesh(smallBounds(), "1000");
  for (const std::string zone : {"hall-a", "hall-b"}) mesh.add(zone, "licensing");
  for (const std::string zone : {"hall-a", "hall-b"}) mesh.add(zone, "catalog");
  store.start(mesh.storeHost());
  store.put("op/config", configuration(7, hasTrouble() ? kLowLimit : kHighLimit));
  std::vector<std::unique_ptr<Server>> servers;
  for (const Mesh::Machine& machine : mesh.machines()) {
    servers.push_back(std::make_unique<Server>(store, machine.host, machine.service, machine.zone,
                                               [](const Message&, const std::string&) {
                                                 return Reaction{200, 400, 0.05};
                                               }));
    servers.back()->start();
  }
  mesh.startAll();
  sleepFor(4);

  // Each client keeps one connection: small requests, and then a large one that the newer version
  // allows. A new connection follows at the end, for comparison.
  const double changed = now() + kInterval * kSmallRequests / 2;
  std::mutex mutex;
  std::map<int, int> kept_statuses;
  std::map<int, int> new_statuses;
  std::atomic<int> requests = 0;
  std::vector<std::thread> clients;
  for (const Mesh::Machine& machine : mesh.machines()) {
    for (int count = 0; count < kClientsPerMachine; ++count) {
      clients.emplace_back([&, count] {
        sleepFor(0.01 * count);
        Connection connection(machine.host);
        for (int number = 0; number < kSmallRequests; ++number) {
          ++requests;
          connection.ask({nextId(), "POST", "fonts.example", "/grant/seat", "seat=1", 5000});
          sleepFor(kInterval);
        }
        sleepUntil(changed + kConfigApply + 4);
        const Request large{
            nextId(), "POST", "fonts.example", "/grant/seat", std::string(kLargeBody, 's'), 5000};
        record("sent " + large.id + " with " + std::to_string(kLargeBody) + " bytes at " +
               machine.name + " on a kept connection");
        const Message answer = connection.ask(large);
        record("answered " + large.id + ": " + answer.start);
        Request again = large;
        again.id = nextId();
        const Message fresh = ask(machine, again, "the same on a new connection");
        requests += 2;
        const std::lock_guard<std::mutex> lock(mutex);
        ++kept_statuses[answer.status()];
        ++new_statuses[fresh.status()];
      });
    }
  }
  sleepUntil(changed);
  if (hasTrouble()) {
    store.put("op/config", configuration(8, kHighLimit));
    record("the store has taken r8, which raises max_body_bytes to " + std::to_string(kHighLimit));
  }
  for (std::thread& client : clients) client.join();

  std::ostringstream result;
  for (const auto& [status, count] : kept_statuses)
    result << count << " kept connections: " << status << "; ";
  for (const auto& [status, count] : new_statuses)
    result << count << " new connections: " << status << "; ";
  const int refused = kept_statuses[413];
  const double allowed = 5 + requests / 500.0;
  result << "of " << requests << " requests, " << refused << " were refused by the limit of r7, "
         << allowed << " are allowed to be refused";
  finish(refused > allowed ? kExitBroken : kExitHeld, result.str());
}
