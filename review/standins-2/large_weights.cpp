/// Case: a version that splits a route with large weights makes the processes stand still.

#include "stand_ins.h"

using namespace review;

namespace {

constexpr double kTimeout = 2.0;
constexpr double kConfigApply = 2.0;

const std::vector<std::string> kPrefixes = {"/font/", "/glyph/", "/specimen/"};

std::string configuration(int version, const std::string& target) {
  std::vector<std::string> resources = {serviceJson("typeserve"), serviceJson("catalog"),
                                        limitsJson(67108864)};
  for (const std::string& prefix : kPrefixes) {
    resources.push_back(
        routeJson("r-" + prefix.substr(1, 4), "fonts.example", prefix, "safe", "2000ms", target));
  }
  return configurationJson(version, resources);
}

std::string split(const std::string& first, const std::string& second) {
  return R"("traffic_split":[{"service":"typeserve","weight":)" + first +
         R"(},{"service":"catalog","weight":)" + second + "}]";
}

}  // namespace

int main(int, char** argv) {
  begin(argv[1]);
  Store store;
  Mesh mesh(smallBounds(), "1000");
  for (const std::string zone : {"hall-a", "hall-b", "hall-c"}) mesh.add(zone, "typeserve");
  for (const std::string zone : {"hall-a", "hall-b", "hall-c"}) mesh.add(zone, "catalog");
  store.start(mesh.storeHost());
  store.put("op/config", configuration(7, R"("service":"typeserve")"));
  std::vector<std::unique_ptr<Server>> servers;
  for (const Mesh::Machine& machine : mesh.machines()) {
    servers.push_back(std::make_unique<Server>(store, machine.host, machine.service, machine.zone,
                                               [](const Message&, const std::string&) {
                                                 return Reaction{200, 400, 0.02};
                                               }));
    servers.back()->start();
  }
  mesh.startAll();
  sleepFor(4);
  store.put("op/config",
            configuration(8, hasTrouble() ? split("900000000", "100000000") : split("90", "10")));
  const double acknowledged = now();
  record("the store has taken r8, which splits three routes");

  std::atomic<int> sent = 0;
  std::atomic<int> late = 0;
  std::atomic<int> missed = 0;
  std::vector<std::thread> threads;
  for (const Mesh::Machine& machine : mesh.machines()) {
    threads.emplace_back([&] {
      while (now() < acknowledged + 20) {
        if (!Mesh::isReady(machine)) {
          ++missed;
          record(machine.name + " does not answer whether it is ready within a second");
        }
        sleepFor(1);
      }
    });
    threads.emplace_back([&] {
      sleepUntil(acknowledged + kConfigApply + 0.1);
      std::vector<std::thread> requests;
      for (int count = 0; count < 20; ++count) {
        requests.emplace_back([&, count] {
          const std::string path = kPrefixes[count % kPrefixes.size()] + "a";
          const double at = now();
          ++sent;
          ask(machine, {nextId(), "GET", "fonts.example", path, "", 10000}, path);
          if (now() > at + kTimeout + 0.5) ++late;
        });
        sleepFor(0.25);
      }
      for (std::thread& request : requests) request.join();
    });
  }
  for (std::thread& thread : threads) thread.join();
  std::ostringstream result;
  result << late << " of " << sent << " requests had no answer " << kTimeout + 0.5
         << " s after they were sent (their route's timeout and half a second); " << missed
         << " readiness checks were not answered within a second";
  finish(late >= 8 && late * 4 > sent ? kExitBroken : kExitHeld, result.str());
}
