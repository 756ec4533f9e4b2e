/// Clients send further safe requests before the first one is answered. Two of five servers turn
/// slow. The node must answer each request by its route's timeout: at half a second after it, no
/// more than half of the requests that were unanswered at the timeout, or seven of them, may still
/// be unanswered.

#include "mesh.h"

using namespace review;

namespace {

constexpr int kRequests = 32;  ///< Sent by a client at once, on one connection.
constexpr int kClients = 4;
constexpr int kWorkMs = 88;
constexpr int kSlowness = 12;
constexpr int kSlowServers = 2;  ///< Of five: a share of 0.4.
constexpr Milliseconds kTimeout(1000);
constexpr Milliseconds kGrace(500);
constexpr Milliseconds kDeadline(2000);
constexpr Milliseconds kSlowFor(9000);

class Play {
 public:
  explicit Play(Record& record) : mesh_({{"typeserve", "catalog"}, 10, 2}, record) {}

  int run() {
    mesh_.configure(
        7,
        R"({"entry_type":"routes","metadata":{"name":"r-subset"},"spec":{"host":"fonts.example",)"
        R"("path_prefix":"/subset/","type":"safe","timeout":"1000ms","target_latency":"300ms",)"
        R"("priority":1,"service":"typeserve","max_attempts":2}},)" +
            mesh_.serviceResources());
    for (const auto& machine : mesh_.machines()) machine->work_ms = kWorkMs;
    mesh_.start();
    std::this_thread::sleep_for(Milliseconds(3500));  // Until all machines are in touch.
    if (makesTrouble()) turnSlow();
    const auto until = Clock::now() + kSlowFor - kDeadline - kGrace;
    std::vector<std::thread> clients;
    for (int client = 0; client < kClients; ++client) {
      Machine* const machine = mesh_.machines()[static_cast<std::size_t>(client)].get();
      clients.emplace_back([this, machine, until] {
        while (Clock::now() < until) sendSeries(*machine);
      });
    }
    for (std::thread& client : clients) client.join();
    const bool ended = mesh_.hasNodeEnded();
    mesh_.record().line("sent " + std::to_string(sent_) + ", unanswered at the timeout " +
                        std::to_string(at_timeout_) + ", of these unanswered " +
                        std::to_string(kGrace.count()) + " ms later " + std::to_string(late_));
    const bool is_broken = late_ >= 8 && 2 * late_ > at_timeout_;
    return is_broken || ended ? kBroken : kHeld;
  }

 private:
  void turnSlow() {
    int left = kSlowServers;
    for (const auto& machine : mesh_.machines()) {
      if (machine->service != "typeserve" || left-- <= 0) continue;
      machine->work_ms = kWorkMs * kSlowness;
      mesh_.record().line("server " + machine->server_id + " turns slow");
    }
  }

  void sendSeries(Machine& machine) {
    Connection connection;
    if (!connection.open(machine.host, mesh_.callerPort())) return;
    std::string bytes;
    std::vector<std::string> ids;
    for (int request = 0; request < kRequests; ++request) {
      ids.push_back(mesh_.nextId());
      bytes += "GET /subset/" + std::to_string(request) +
               " HTTP/1.1\r\nHost: fonts.example\r\nCoursepond-Request-Id: " + ids.back() +
               "\r\nCoursepond-Deadline-Ms: " + std::to_string(kDeadline.count()) + "\r\n\r\n";
    }
    const auto sent = Clock::now();
    connection.send(bytes);
    sent_ += kRequests;
    mesh_.record().line("sent    " + ids.front() + " to " + ids.back() + " at " + machine.name);
    for (int request = 0; request < kRequests; ++request) {
      const auto answer = connection.read(sent + kDeadline);
      const auto taken = std::chrono::duration_cast<Milliseconds>(Clock::now() - sent);
      if (!answer) {
        // The deadline has passed for this request and for all behind it.
        at_timeout_ += kRequests - request;
        late_ += kRequests - request;
        mesh_.record().line("no answer to " + ids[static_cast<std::size_t>(request)] + " to " +
                            ids.back() + " by their deadline");
        return;
      }
      if (taken > kTimeout) ++at_timeout_;
      if (taken > kTimeout + kGrace) ++late_;
      mesh_.record().line("answer  " + answer->field("coursepond-request-id") + ": " +
                          std::to_string(answer->status()) + " after " +
                          std::to_string(taken.count()) + " ms");
    }
  }

  Mesh mesh_;
  std::atomic<int> sent_{0};
  std::atomic<int> at_timeout_{0};
  std::atomic<int> late_{0};
};

}  // namespace

int main() {
  return runCase([](Record& record) { return Play(record).run(); });
}
