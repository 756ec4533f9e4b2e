/// A version shares the requests of one route between two services, three quarters and a quarter,
/// with weights that add up to 2^32. Requests of another route, which the version does not change,
/// must still be answered by their route's timeout: half a second after it, no more than half of
/// those that were unanswered at the timeout, or seven of them, may be unanswered.

#include "mesh.h"

using namespace review;

namespace {

constexpr Milliseconds kTimeout(1500);
constexpr Milliseconds kGrace(500);
constexpr Milliseconds kDeadline(5000);
constexpr Milliseconds kWatched(20000);

std::string route(const std::string& name, const std::string& prefix, const std::string& type,
                  const std::string& target) {
  return R"({"entry_type":"routes","metadata":{"name":")" + name +
         R"("},"spec":{"host":"fonts.example","path_prefix":")" + prefix + R"(","type":")" + type +
         R"(","timeout":"1500ms","target_latency":"600ms","priority":1,)" + target +
         R"(,"max_attempts":2}})";
}

class Play {
 public:
  explicit Play(Record& record) : mesh_({{"catalog", "licensing", "typeserve"}, 12, 4}, record) {}

  int run() {
    write(7, 90, 10);
    mesh_.start();
    std::this_thread::sleep_for(Milliseconds(3500));  // Until all machines are in touch.
    std::vector<std::thread> clients;
    for (const auto& machine : mesh_.machines()) {
      clients.emplace_back([this, raw = machine.get()] { browse(*raw); });
      clients.emplace_back([this, raw = machine.get()] { grant(*raw); });
    }
    std::this_thread::sleep_for(Milliseconds(3000));
    if (makesTrouble()) write(12, 3221225472U, 1073741824U);
    std::this_thread::sleep_for(kWatched);
    stopping_ = true;
    for (std::thread& client : clients) client.join();
    const bool ended = mesh_.hasNodeEnded();
    mesh_.record().line("sent " + std::to_string(sent_) + ", unanswered at the timeout " +
                        std::to_string(at_timeout_) + ", of these unanswered " +
                        std::to_string(kGrace.count()) + " ms later " + std::to_string(late_));
    const bool is_broken = late_ >= 8 && 2 * late_ > at_timeout_;
    return is_broken || ended ? kBroken : kHeld;
  }

 private:
  void write(int version, std::uint32_t first, std::uint32_t second) {
    const std::string split = R"("traffic_split":[{"service":"catalog","weight":)" +
                              std::to_string(first) + R"(},{"service":"typeserve","weight":)" +
                              std::to_string(second) + "}]";
    mesh_.configure(version, route("r-browse", "/browse/", "safe", split) + "," +
                                 route("r-grant", "/grant/", "unsafe", R"("service":"licensing")") +
                                 "," + mesh_.serviceResources());
  }

  /// Requests of the route that is shared.
  void browse(Machine& machine) {
    while (!stopping_) {
      std::this_thread::sleep_for(Milliseconds(300));
      Connection connection;
      if (!connection.open(machine.host, mesh_.callerPort())) continue;
      const std::string id = mesh_.nextId();
      connection.send(
          "GET /browse/list HTTP/1.1\r\nHost: fonts.example\r\nCoursepond-Request-Id: " + id +
          "\r\nCoursepond-Deadline-Ms: 3000\r\n\r\n");
      const auto answer = connection.read(Clock::now() + Milliseconds(3000));
      mesh_.record().line("answer  " + id + " (browse) at " + machine.name + ": " +
                          (answer ? std::to_string(answer->status()) : "none by its deadline"));
    }
  }

  /// Requests of the other route. They cannot be repeated, so the client waits for their answers.
  void grant(Machine& machine) {
    while (!stopping_) {
      std::this_thread::sleep_for(Milliseconds(200));
      Connection connection;
      if (!connection.open(machine.host, mesh_.callerPort())) continue;
      const std::string id = mesh_.nextId();
      const auto sent = Clock::now();
      connection.send(
          "POST /grant/seat HTTP/1.1\r\nHost: fonts.example\r\nCoursepond-Request-Id: " + id +
          "\r\nCoursepond-Deadline-Ms: " + std::to_string(kDeadline.count()) +
          "\r\nContent-Length: 4\r\n\r\nseat");
      ++sent_;
      const auto answer = connection.read(sent + kDeadline);
      const auto taken = std::chrono::duration_cast<Milliseconds>(Clock::now() - sent);
      if (taken > kTimeout) ++at_timeout_;
      if (taken > kTimeout + kGrace) ++late_;
      mesh_.record().line("answer  " + id + " (grant) at " + machine.name + ": " +
                          (answer ? std::to_string(answer->status()) : "none by its deadline") +
                          " after " + std::to_string(taken.count()) + " ms");
    }
  }

  Mesh mesh_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> at_timeout_{0};
  std::atomic<int> late_{0};
};

}  // namespace

int main() {
  return runCase([](Record& record) { return Play(record).run(); });
}
