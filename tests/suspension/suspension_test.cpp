#include <doctest/doctest.h>
#include <signal.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>

#include "platform/soak/suspend_clock.h"
#include "runtime/asio_environment.h"
#include "runtime/deadline_watch.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/suspension_watch.h"

// Guards against a resumed machine that treats stale state as fresh. Operators suspend machines for
// seconds. If all times are read from the steady clock, which stands still during a suspension, the
// machine does not count this time, although other machines do. It then underestimates the age of
// unconfirmed versions and entries, and overestimates how long a server is still avoided, how much
// time a request has left, and when a lease or an idle connection expires.

namespace coursepond::runtime {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Simulates a suspension: nothing runs for `length`, and the steady clock does not count it.
void suspendMachine(milliseconds length) {
  std::this_thread::sleep_for(length);
  sigval lost{};
  lost.sival_int = static_cast<int>(length.count());
  sigqueue(getpid(), soak::clockSignal(), lost);
}

/// Watched object that records that its deadline has passed.
class Expiring final : public Watched {
 public:
  Expiring(std::shared_ptr<DeadlineWatch> watch, Duration delay) : Watched(std::move(watch)) {
    expireAfter(delay);
  }
  bool has_expired = false;

 private:
  void onDeadline() override { has_expired = true; }
};

}  // namespace

TEST_CASE("the environment's clock counts the time for which the machine was suspended") {
  boost::asio::io_context context;
  const AsioEnvironment environment(context);
  const TimePoint before = environment.now();
  suspendMachine(milliseconds(300));
  CHECK(environment.now() - before >= milliseconds(300));
}

TEST_CASE("a timer that expired while the machine was suspended runs as soon as it resumes") {
  boost::asio::io_context context;
  AsioEnvironment environment(context);
  bool has_run = false;
  environment.schedule(milliseconds(250), [&] { has_run = true; });
  suspendMachine(milliseconds(300));
  context.run_for(milliseconds(50));
  CHECK(has_run);
}

// Times of sending from before and after a suspension cannot be compared.
TEST_CASE("a suspension is detected once, and a pause of the process is none") {
  SuspensionWatch watch;
  CHECK_FALSE(watch.check());
  std::this_thread::sleep_for(milliseconds(100));
  CHECK_FALSE(watch.check());
  suspendMachine(milliseconds(100));
  CHECK(watch.check());
  CHECK_FALSE(watch.check());
}

TEST_CASE("a connection deadline expires while the machine is suspended") {
  boost::asio::io_context context;
  const auto watch = std::make_shared<DeadlineWatch>(context, milliseconds(10));
  const Expiring expiring(watch, milliseconds(250));
  suspendMachine(milliseconds(300));
  context.run_for(milliseconds(50));
  CHECK(expiring.has_expired);
}

TEST_CASE("an idle connection that expired during a suspension is not reused") {
  boost::asio::io_context context;
  std::vector<std::uint16_t> ports;
  const auto server = HttpServer::create(context, {"127.0.0.1", 0}, {},
                                         [&](const HttpRequest& request, HttpResponder responder) {
                                           ports.push_back(request.remote.port);
                                           responder.respond({});
                                         });
  REQUIRE(server.has_value());
  HttpClientLimits limits;
  limits.idle_timeout = milliseconds(200);
  HttpClient client(context, limits);
  const auto ask = [&] {
    bool is_answered = false;
    client.request((*server)->address(), {}, seconds(2), [&](const auto&) { is_answered = true; });
    while (!is_answered) context.run_one();
  };
  ask();
  suspendMachine(milliseconds(300));
  ask();
  REQUIRE(ports.size() == 2);
  CHECK(ports[0] != ports[1]);
}

}  // namespace coursepond::runtime
