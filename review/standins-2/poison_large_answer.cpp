/// Case: a request that crashes each server while the server sends its large answer is never taken
/// for one.
///
/// VARIANT=small: the server crashes before it answers. The request is then contained.

#include "poison.h"

using namespace review;

namespace {

// The sheet of cuotafacil-mvd-grown: the answers of `settlement-file` have 90,000 bytes on average
// and 540,000 at most.
constexpr std::size_t kFileBytes = 540'000;
constexpr std::size_t kBytesBeforeCrash = 400'000;
constexpr std::size_t kOrdinaryBytes = 90'000;
constexpr double kWork = 0.065;
constexpr int kDeadlineMs = 3000;

}  // namespace

int main(int, char** argv) {
  begin(argv[1]);
  Store store;
  Mesh mesh({{"drain", "2500ms"},
             {"config_apply", "2500ms"},
             {"contact", "3000ms"},
             {"grace", "6s"},
             {"retry_budget_ratio", "0.2"},
             {"budget_slack", "166"}},
            "200");
  addMachines(mesh, "comercios");
  store.start(mesh.storeHost());
  store.put("op/config",
            configurationJson(
                7, {routeJson("r-file", "pay.example", "/settlement/", "download", "1500ms",
                              R"("service":"comercios")"),
                    serviceJson("comercios"), serviceJson("catalog"), limitsJson(67108864)}));
  PoisonBook book;
  std::vector<std::unique_ptr<Server>> servers;
  for (const Mesh::Machine& machine : mesh.machines()) {
    servers.push_back(std::make_unique<Server>(
        store, machine.host, machine.service, machine.zone,
        [&](const Message& request, const std::string&) {
          Reaction reaction{200, kOrdinaryBytes, kWork};
          if (request.word(1) != "/settlement/broken") return reaction;
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
        const std::string path = "/settlement/" + std::to_string(number);
        ask(mesh.machines()[4 + number % 4],
            {nextId(), "GET", "pay.example", path, "", kDeadlineMs}, "file");
      }).detach();
      sleepFor(0.1);
    }
  }).detach();

  for (int count = 0; count < kPoisonRequests; ++count) {
    const std::string id = nextId();
    book.onSent(id);
    std::thread([&, id, count] {
      ask(mesh.machines()[4 + count % 4],
          {id, "GET", "pay.example", "/settlement/broken", "", kDeadlineMs}, "crashing file");
    }).detach();
    sleepFor(kPoisonInterval);
  }
  is_over = true;
  sleepFor(1);
  book.judge();
}
