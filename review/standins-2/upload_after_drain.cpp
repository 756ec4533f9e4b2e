/// Case: uploads that wait for their turn at an ingress reach its server long after the server has
/// said that it is draining.

#include "stand_ins.h"

using namespace review;

namespace {

constexpr std::size_t kUploadBytes = std::size_t{6} * 1024 * 1024;
constexpr double kDrain = 2.0;

}  // namespace

int main(int, char** argv) {
  begin(argv[1]);
  Store store;
  Mesh mesh(smallBounds(), "10");
  for (const std::string zone : {"hall-a", "hall-b"}) mesh.add(zone, "recibos");
  for (int count = 0; count < 10; ++count)
    mesh.add(count % 2 == 0 ? "hall-a" : "hall-b", "cartola");
  store.start(mesh.storeHost());
  store.put("op/config", configurationJson(7, {routeJson("r-upload", "up.example", "/up/", "upload",
                                                         "30000ms", R"("service":"recibos")"),
                                               serviceJson("recibos"), serviceJson("cartola"),
                                               limitsJson(67108864)}));

  std::mutex mutex;
  std::map<std::string, double>
      heads;  // First arrival of each request's head at the leaving server.
  std::vector<std::unique_ptr<Server>> servers;
  for (const Mesh::Machine& machine : mesh.machines()) {
    servers.push_back(std::make_unique<Server>(store, machine.host, machine.service, machine.zone,
                                               [](const Message&, const std::string&) {
                                                 return Reaction{200, 100, 0.14};
                                               }));
    servers.back()->start();
  }
  Server& leaving = *servers[0];
  leaving.on_head = [&](const Message& request, const std::string&) {
    const std::lock_guard<std::mutex> lock(mutex);
    heads.emplace(request.field("Coursepond-Request-Id"), now());
  };
  mesh.startAll();
  sleepFor(4);  // All machines are in touch for longer than `contact`.

  // One upload of 6 MiB at each machine that runs the other service, over links of 10 Mbit/s.
  std::vector<std::thread> clients;
  for (std::size_t number = 2; number < mesh.machines().size(); ++number) {
    clients.emplace_back([&, number] {
      Request request{nextId(), "POST", "up.example", "/up/file", "", 30000};
      request.body.assign(kUploadBytes, 'b');
      ask(mesh.machines()[number], request, "upload");
    });
  }
  sleepFor(1);
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
