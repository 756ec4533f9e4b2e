/// Versions move a route between two services. The route allows 16 attempts (ATTEMPTS sets another
/// number). All machines are in touch throughout. No request that is sent later than config_apply
/// after a version was acknowledged may be run by the service of the version before.

#include <cstdlib>

#include "mesh.h"

using namespace review;

namespace {

constexpr Milliseconds kConfigApply(2000);
constexpr Milliseconds kPause(2600);
constexpr int kVersions = 36;

struct Version {
  Clock::time_point acknowledged;
  std::string service;
};

class Play {
 public:
  explicit Play(Record& record) : mesh_({{"catalog", "licensing", "typeserve"}, 13, 4}, record) {
    const char* const attempts = std::getenv("ATTEMPTS");
    attempts_ = attempts != nullptr ? attempts : "16";
  }

  int run() {
    write(0, "catalog");
    mesh_.start();
    std::this_thread::sleep_for(Milliseconds(3500));  // Until all machines are in touch.
    std::vector<std::thread> clients;
    for (const auto& machine : mesh_.machines()) {
      clients.emplace_back([this, raw = machine.get()] { request(*raw); });
    }
    const int changes = makesTrouble() ? kVersions : 0;
    for (int change = 0; change < changes; ++change) {
      write(change + 1, change % 2 == 0 ? "typeserve" : "catalog");
      std::this_thread::sleep_for(kPause);
    }
    if (changes == 0) std::this_thread::sleep_for(Milliseconds(20000));
    stopping_ = true;
    for (std::thread& client : clients) client.join();
    const bool ended = mesh_.hasNodeEnded();
    mesh_.record().line("judged " + std::to_string(judged_) + " requests, of these " +
                        std::to_string(stale_) + " run by the service of an older version only");
    return stale_ > 0 || ended ? kBroken : kHeld;
  }

 private:
  void write(int change, const std::string& service) {
    const std::string route =
        R"({"entry_type":"routes","metadata":{"name":"r-browse"},"spec":{"host":"fonts.example",)"
        R"("path_prefix":"/browse/","type":"safe","timeout":"2000ms","target_latency":"600ms",)"
        R"("priority":2,"service":")" +
        service + R"(","max_attempts":)" + attempts_ + "}}";
    mesh_.configure(7 + 3 * static_cast<std::uint64_t>(change),
                    route + "," + mesh_.serviceResources());
    const std::lock_guard lock(mutex_);
    now_ = {Clock::now(), service};
  }

  Version now() {
    const std::lock_guard lock(mutex_);
    return now_;
  }

  void request(Machine& machine) {
    Connection connection;
    while (!stopping_) {
      std::this_thread::sleep_for(Milliseconds(100));
      if (!connection.isOpen() && !connection.open(machine.host, mesh_.callerPort())) continue;
      const std::string id = mesh_.nextId();
      const Version before = now();
      const auto sent = Clock::now();
      connection.send(
          "GET /browse/list HTTP/1.1\r\nHost: fonts.example\r\nCoursepond-Request-Id: " + id +
          "\r\nCoursepond-Deadline-Ms: 4000\r\n\r\n");
      const auto answer = connection.read(sent + std::chrono::seconds(5));
      if (!answer) {
        connection.close();
        continue;
      }
      const std::string service = answer->body.substr(0, answer->body.find('\n'));
      const auto age = std::chrono::duration_cast<Milliseconds>(sent - before.acknowledged);
      const bool is_judged = age > kConfigApply && answer->status() == 200;
      const bool is_stale = is_judged && service != before.service;
      if (is_judged) ++judged_;
      if (is_stale) ++stale_;
      mesh_.record().line("answer  " + id + " at " + machine.name + ": " +
                          std::to_string(answer->status()) + " " + service + ", sent " +
                          std::to_string(age.count()) + " ms after the newest version (" +
                          before.service + ")" + (is_stale ? "  STALE" : ""));
    }
  }

  Mesh mesh_;
  std::string attempts_;
  std::mutex mutex_;
  Version now_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> judged_{0};
  std::atomic<int> stale_{0};
};

}  // namespace

int main() {
  return runCase([](Record& record) { return Play(record).run(); });
}
