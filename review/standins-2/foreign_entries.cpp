/// Case: entries that another writer left in the store, of a service that the configuration does
/// not name, are taken for machines of the mesh. The machines that should read the configuration
/// for the others are then none of its own, and new versions come late.

#include "stand_ins.h"

using namespace review;

namespace {

constexpr int kMachines = 12;
constexpr int kForeignEntries = 60;
constexpr double kConfigApply = 2.0;
constexpr double kBetweenChanges = 7.0;
constexpr int kChanges = 4;

std::string configuration(int version, const std::string& service) {
  const std::vector<std::string> resources = {
      routeJson("r-font", "fonts.example", "/font/", "safe", "2000ms",
                R"("service":")" + service + "\""),
      serviceJson("typeserve"), serviceJson("catalog"), limitsJson(67108864)};
  return configurationJson(version, resources);
}

}  // namespace

int main(int, char** argv) {
  begin(argv[1]);
  Store store;
  // The choice of readers depends on a hash of the addresses. In these networks, no machine of the
  // mesh is among them.
  Mesh mesh(smallBounds(), "1000", {109, 113, 105, 107, 112, 110, 100});
  for (int number = 0; number < kMachines; ++number) {
    mesh.add(std::string("hall-") + "abcd"[number % 4], number < 4 ? "typeserve" : "catalog");
  }
  store.start(mesh.storeHost());
  store.put("op/config", configuration(7, "catalog"));
  std::mutex mutex;
  std::map<std::string, std::string> ran_by;
  std::vector<std::unique_ptr<Server>> servers;
  for (const Mesh::Machine& machine : mesh.machines()) {
    servers.push_back(std::make_unique<Server>(
        store, machine.host, machine.service, machine.zone,
        [&, service = machine.service](const Message& request, const std::string&) {
          const std::lock_guard<std::mutex> lock(mutex);
          ran_by[request.field("Coursepond-Request-Id")] = service;
          return Reaction{200, 400, 0.01};
        }));
    servers.back()->start();
  }
  // Servers of another service, as another writer would list them. Nobody listens there.
  for (int number = 0; hasTrouble() && number < kForeignEntries; ++number) {
    store.put("servers/i-other-" + std::to_string(number),
              R"({"service":"other-team","address":")" + mesh.foreignHost(number) + ":8301" +
                  R"(","zone":"hall-)" + "abcd"[number % 4] +
                  R"(","version":"v1","slots":18,"state":"ready","cold_remaining":"0ms",)" +
                  R"("sequence":1})");
  }
  mesh.startAll();
  sleepFor(4);

  // Each version moves the route to the other service.
  const std::vector<std::string> services = {"catalog", "typeserve"};
  int sent = 0;
  int old_version = 0;
  std::set<std::string> stale;
  double latest = 0;
  for (int change = 1; change <= kChanges; ++change) {
    const std::string& service = services[change % 2];
    store.put("op/config", configuration(7 + change, service));
    const double acknowledged = now();
    record("the store has taken r" + std::to_string(7 + change) + ": /font/ goes to " + service);
    std::vector<std::thread> clients;
    for (const Mesh::Machine& machine : mesh.machines()) {
      clients.emplace_back([&] {
        sleepUntil(acknowledged + kConfigApply + 0.05);
        while (now() < acknowledged + kBetweenChanges) {
          const double at = now();
          const Request request{nextId(), "GET", "fonts.example", "/font/a", "", 4000};
          ask(machine, request, "font");
          {
            const std::lock_guard<std::mutex> lock(mutex);
            ++sent;
            const std::string& runner = ran_by[request.id];
            if (!runner.empty() && runner != service) {
              ++old_version;
              stale.insert(machine.name);
              latest = std::max(latest, at - acknowledged);
            }
          }
          sleepFor(0.25);
        }
      });
    }
    for (std::thread& client : clients) client.join();
  }

  std::ostringstream result;
  result
      << old_version << " of " << sent << " requests, sent later than " << kConfigApply
      << " s after the acknowledgement of a version, were run by the service of the one before, at "
      << stale.size() << " of " << kMachines << " machines; the last one was sent after " << latest
      << " s";
  finish(old_version > 0 ? kExitBroken : kExitHeld, result.str());
}
