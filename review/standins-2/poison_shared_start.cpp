/// Case: a request that crashes each server is never taken for one, because other requests with the
/// same path and length begin with the same 4,096 bytes and are answered.
///
/// VARIANT=distinct: the bodies differ from their first byte on. The request is then contained.

#include "poison.h"

using namespace review;

namespace {

constexpr std::size_t kTermsBytes = 4096;
constexpr std::size_t kBodyBytes = 6000;
constexpr double kGrantsPerSecond = 12;

/// A form: the same terms of the licence in each one, then the seat.
std::string form(const std::string& seat) {
  const std::string terms(kTermsBytes, 't');
  std::string body = variant() == "distinct" ? seat + terms : terms + seat;
  body.resize(kBodyBytes, '.');
  return body;
}

}  // namespace

int main(int, char** argv) {
  begin(argv[1]);
  Store store;
  Mesh mesh(smallBounds(), "1000");
  addMachines(mesh, "licensing");
  store.start(mesh.storeHost());
  store.put("op/config",
            configurationJson(
                7, {routeJson("r-grant", "fonts.example", "/grant/", "unsafe", "2500ms",
                              R"("service":"licensing")"),
                    serviceJson("licensing"), serviceJson("catalog"), limitsJson(67108864)}));
  PoisonBook book;
  const std::string poison = form("seat=00000000");
  std::vector<std::unique_ptr<Server>> servers;
  for (const Mesh::Machine& machine : mesh.machines()) {
    servers.push_back(std::make_unique<Server>(store, machine.host, machine.service, machine.zone,
                                               [&](const Message& request, const std::string&) {
                                                 Reaction reaction{200, 400, 0.1};
                                                 if (request.body != poison) return reaction;
                                                 reaction.crashes = hasTrouble();
                                                 book.onRun(request.field("Coursepond-Request-Id"),
                                                            reaction.crashes);
                                                 return reaction;
                                               }));
    servers.back()->start();
  }
  mesh.startAll();
  sleepFor(4);

  std::atomic<bool> is_over = false;
  std::thread([&] {
    for (int number = 1; !is_over; ++number) {
      std::thread([&, number] {
        const Mesh::Machine& machine = mesh.machines()[4 + number % 4];
        std::array<char, 32> seat{};
        std::snprintf(seat.data(), seat.size(), "seat=%08d", number);
        ask(machine, {nextId(), "POST", "fonts.example", "/grant/seat", form(seat.data()), 5000},
            "grant");
      }).detach();
      sleepFor(1 / kGrantsPerSecond);
    }
  }).detach();

  for (int count = 0; count < kPoisonRequests; ++count) {
    const std::string id = nextId();
    book.onSent(id);
    std::thread([&, id, count] {
      ask(mesh.machines()[4 + count % 4],
          {id, "POST", "fonts.example", "/grant/seat", poison, 5000}, "crashing grant");
    }).detach();
    sleepFor(kPoisonInterval);
  }
  is_over = true;
  sleepFor(1);
  book.judge();
}
