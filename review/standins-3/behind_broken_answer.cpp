/// Clients send further safe requests before the first one is answered, on connections that they
/// keep: fonts and entries of the catalogue by turns. Half of the servers of the fonts break off
/// two in a hundred of their answers. No more than three requests that were passed on to the other
/// servers, which are sound, may end with their connection closed and no answer.

#include "mesh.h"

using namespace review;

namespace {

constexpr std::size_t kAnswerBytes = 400 * 1024;
constexpr int kBrokenPerThousand = 20;
constexpr int kRequests = 6;  ///< Sent by a client at once.
constexpr int kClientsPerMachine = 2;
constexpr Milliseconds kPlayed(20000);
constexpr Milliseconds kDeadline(4000);

std::string route(const std::string& name, const std::string& service) {
  return R"({"entry_type":"routes","metadata":{"name":"r-)" + name +
         R"("},"spec":{"host":"fonts.example","path_prefix":"/)" + name +
         R"(/","type":"safe","timeout":"4000ms","target_latency":"600ms","priority":1,)" +
         R"("service":")" + service + R"(","max_attempts":2}})";
}

class Play {
 public:
  explicit Play(Record& record) : mesh_({{"typeserve", "catalog"}, 8, 4}, record) {}

  int run() {
    mesh_.configure(7, route("font", "typeserve") + "," + route("list", "catalog") + "," +
                           mesh_.serviceResources());
    int fonts = 0;
    for (const auto& machine : mesh_.machines()) {
      if (machine->service != "typeserve") continue;
      machine->answer_bytes = kAnswerBytes;
      const bool is_faulty = fonts++ < 2 && makesTrouble();  // Two of four.
      if (is_faulty) machine->broken_per_thousand = kBrokenPerThousand;
    }
    mesh_.start();
    std::this_thread::sleep_for(Milliseconds(3500));  // Until all machines are in touch.
    const auto until = Clock::now() + kPlayed;
    std::vector<std::thread> clients;
    for (const auto& machine : mesh_.machines()) {
      for (int client = 0; client < kClientsPerMachine; ++client) {
        clients.emplace_back([this, raw = machine.get(), until] { keepConnection(*raw, until); });
      }
    }
    for (std::thread& client : clients) client.join();
    const bool ended = mesh_.hasNodeEnded();
    mesh_.record().line("sent " + std::to_string(sent_) + ", run by a sound server and closed " +
                        "without an answer " + std::to_string(lost_));
    return lost_ > 3 || ended ? kBroken : kHeld;
  }

 private:
  void keepConnection(Machine& machine, Clock::time_point until) {
    Connection connection;
    while (Clock::now() < until) {
      if (!connection.isOpen() && !connection.open(machine.host, mesh_.callerPort())) continue;
      if (!sendSeries(machine, connection)) connection.close();
      std::this_thread::sleep_for(Milliseconds(100));
    }
  }

  bool sendSeries(Machine& machine, Connection& connection) {
    std::string bytes;
    std::vector<std::string> ids;
    for (int request = 0; request < kRequests; ++request) {
      ids.push_back(mesh_.nextId());
      const std::string name = request % 2 == 0 ? "font" : "list";
      bytes += "GET /" + name + "/" + std::to_string(request) +
               " HTTP/1.1\r\nHost: fonts.example\r\nCoursepond-Request-Id: " + ids.back() +
               "\r\nCoursepond-Deadline-Ms: " + std::to_string(kDeadline.count()) + "\r\n\r\n";
    }
    const auto sent = Clock::now();
    connection.send(bytes);
    sent_ += kRequests;
    for (std::size_t request = 0; request < ids.size(); ++request) {
      const auto answer = connection.read(sent + kDeadline);
      if (answer) continue;
      if (Clock::now() >= sent + kDeadline) return false;
      judgeClosed(machine, ids, request);
      return false;
    }
    return true;
  }

  /// The connection was closed in the middle of the answer of `first`, or before it.
  void judgeClosed(Machine& machine, const std::vector<std::string>& ids, std::size_t first) {
    for (std::size_t request = first; request < ids.size(); ++request) {
      const Machine* const server = mesh_.serverOf(ids[request]);
      const bool is_lost = server != nullptr && server->broken_per_thousand == 0;
      if (is_lost) ++lost_;
      mesh_.record().line("closed  " + ids[request] + " at " + machine.name + ", " +
                          (server == nullptr ? "not run" : "run at " + server->server_id) +
                          (is_lost ? "  LOST" : ""));
    }
  }

  Mesh mesh_;
  std::atomic<int> sent_{0};
  std::atomic<int> lost_{0};
};

}  // namespace

int main() {
  return runCase([](Record& record) { return Play(record).run(); });
}
