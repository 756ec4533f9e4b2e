/// Case: a request that crashes each server while the server sends its large answer is never taken
/// for one.
///
/// VARIANT=small: the server crashes before it answers. The request is then contained.

#include "poison.h"

using namespace review;

namespace {

constexpr std::size_t kFileBytes = 1'000'000;
constexpr std::size_t kBytesBeforeCrash = 400'000;
constexpr std::size_t kOrdinaryBytes = 1500;

}  // namespace

int main(int, char** argv) {
  begin(argv[1]);
  Store store;
  Mesh mesh(smallBounds(), "1000");
  addMachines(mesh, "typeserve");
  store.start(mesh.storeHost());
  store.put("op/config",
            configurationJson(
                7, {routeJson("r-font", "fonts.example", "/font/", "download", "5000ms",
                              R"("service":"typeserve")"),
                    serviceJson("typeserve"), serviceJson("catalog"), limitsJson(67108864)}));
  PoisonBook book;
  std::vector<std::unique_ptr<Server>> servers;
  for (const Mesh::Machine& machine : mesh.machines()) {
    servers.push_back(std::make_unique<Server>(
        store, machine.host, machine.service, machine.zone,
        [&](const Message& request, const std::string&) {
          Reaction reaction{200, kOrdinaryBytes, 0.1};
          if (request.word(1) != "/font/broken") return reaction;
          reaction.answer_bytes = kFileBytes;
          reaction.crashes = hasTrouble();
          reaction.bytes_before_crash = variant() == "small" ? 0 : kBytesBeforeCrash;
          book.onRun(request.field("Coursepond-Request-Id"), reaction.crashes);
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
        const std::string path = "/font/" + std::to_string(number);
        ask(mesh.machines()[4 + number % 4], {nextId(), "GET", "fonts.example", path, "", 10000},
            "font");
      }).detach();
      sleepFor(0.1);
    }
  }).detach();

  for (int count = 0; count < kPoisonRequests; ++count) {
    const std::string id = nextId();
    book.onSent(id);
    std::thread([&, id, count] {
      ask(mesh.machines()[4 + count % 4], {id, "GET", "fonts.example", "/font/broken", "", 10000},
          "crashing font");
    }).detach();
    sleepFor(kPoisonInterval);
  }
  is_over = true;
  sleepFor(1);
  book.judge();
}
