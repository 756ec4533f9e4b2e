/// A version adds a route whose host is written with a capital letter. Requests for it that are
/// sent later than config_apply after the version was acknowledged must not be answered 404.

#include "mesh.h"

using namespace review;

namespace {

constexpr Milliseconds kConfigApply(2000);

std::string route(const std::string& name, const std::string& host) {
  return R"({"entry_type":"routes","metadata":{"name":")" + name + R"("},"spec":{"host":")" + host +
         R"(","path_prefix":"/browse/","type":"safe","timeout":"2000ms","target_latency":"600ms",)" +
         R"("priority":2,"service":"catalog","max_attempts":2}})";
}

class Play {
 public:
  explicit Play(Record& record) : mesh_({{"catalog", "licensing", "typeserve"}, 12, 4}, record) {}

  int run() {
    const std::string first = route("r-first", "fonts.example") + "," + mesh_.serviceResources();
    mesh_.configure(7, first);
    mesh_.start();
    std::this_thread::sleep_for(Milliseconds(3500));  // Until all machines are in touch.
    if (makesTrouble()) {
      mesh_.configure(12, first + "," + route("r-added", "Fonts.Member.example"));
    }
    std::this_thread::sleep_for(kConfigApply + Milliseconds(500));
    for (int round = 0; round < 5; ++round) {
      for (const auto& machine : mesh_.machines()) {
        ask(*machine, "fonts.example");
        if (makesTrouble()) ask(*machine, "Fonts.Member.example");
      }
      std::this_thread::sleep_for(Milliseconds(500));
    }
    const bool ended = mesh_.hasNodeEnded();
    mesh_.record().line("asked " + std::to_string(asked_) +
                        ", answered 404 although the route is " + "there " +
                        std::to_string(denied_));
    return denied_ > 0 || ended ? kBroken : kHeld;
  }

 private:
  void ask(Machine& machine, const std::string& host) {
    Connection connection;
    if (!connection.open(machine.host, mesh_.callerPort())) return;
    const std::string id = mesh_.nextId();
    connection.send("GET /browse/list HTTP/1.1\r\nHost: " + host + "\r\nCoursepond-Request-Id: " +
                    id + "\r\nCoursepond-Deadline-Ms: 4000\r\n\r\n");
    const auto answer = connection.read(Clock::now() + std::chrono::seconds(5));
    const int status = answer ? answer->status() : 0;
    ++asked_;
    if (status == 404) ++denied_;
    mesh_.record().line("answer  " + id + " for " + host + " at " + machine.name + ": " +
                        std::to_string(status));
  }

  Mesh mesh_;
  int asked_ = 0;
  int denied_ = 0;
};

}  // namespace

int main() {
  return runCase([](Record& record) { return Play(record).run(); });
}
