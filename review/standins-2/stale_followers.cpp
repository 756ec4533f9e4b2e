/// Case: a version with a route whose name holds a slash comes to the machines that read the store,
/// and not to those that get their configuration from them.

#include "stand_ins.h"

using namespace review;

namespace {

constexpr int kMachines = 36;
constexpr double kConfigApply = 2.0;
constexpr double kWatched = 10.0;

std::string configuration(int version, const std::string& service, const std::string& added) {
  std::vector<std::string> resources = {routeJson("r-font", "fonts.example", "/font/", "safe",
                                                  "2000ms", R"("service":")" + service + "\""),
                                        serviceJson("typeserve"), serviceJson("catalog"),
                                        limitsJson(67108864)};
  if (!added.empty()) {
    resources.push_back(routeJson(added, "fonts.example", "/specimen/", "safe", "2000ms",
                                  R"("service":"typeserve")"));
  }
  return configurationJson(version, resources);
}

}  // namespace

int main(int, char** argv) {
  begin(argv[1]);
  Store store;
  Mesh mesh(smallBounds(), "1000");
  for (int number = 0; number < kMachines; ++number) {
    mesh.add(std::string("hall-") + "abcd"[number % 4], number < 8 ? "typeserve" : "catalog");
  }
  store.start(mesh.storeHost());
  store.put("op/config", configuration(7, "catalog", ""));
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
  mesh.startAll();
  sleepFor(4);

  store.put("op/config",
            configuration(8, "typeserve", hasTrouble() ? "fonts/specimen" : "fonts-specimen"));
  const double acknowledged = now();
  record("the store has taken r8: /font/ goes to typeserve, and a route is added");
  std::atomic<int> sent = 0;
  std::atomic<int> old_version = 0;
  std::set<std::string> stale;
  double last = 0;
  std::vector<std::thread> clients;
  for (const Mesh::Machine& machine : mesh.machines()) {
    clients.emplace_back([&] {
      sleepUntil(acknowledged + kConfigApply + 0.05);
      while (now() < acknowledged + kWatched) {
        const double at = now();
        const Request request{nextId(), "GET", "fonts.example", "/font/a", "", 4000};
        ask(machine, request, "font");
        ++sent;
        {
          const std::lock_guard<std::mutex> lock(mutex);
          if (ran_by[request.id] == "catalog") {
            ++old_version;
            stale.insert(machine.name);
            last = std::max(last, at - acknowledged);
          }
        }
        sleepFor(0.25);
      }
    });
  }
  for (std::thread& client : clients) client.join();

  std::ostringstream result;
  result << old_version << " of " << sent << " requests, sent later than " << kConfigApply
         << " s after the acknowledgement of r8, were run by the service of r7, at " << stale.size()
         << " of " << kMachines << " machines; the last one was sent after " << last << " s";
  finish(old_version > 0 ? kExitBroken : kExitHeld, result.str());
}
