// Tests of the parts of the soak. A checker that misses violations would let every run pass.

#include <doctest/doctest.h>
#include <unistd.h>

#include "runtime/asio_environment.h"
#include "runtime/http_server.h"
#include "soak/judge.h"
#include "soak/machine.h"
#include "soak/schedule.h"
#include "support/loopback_bench.h"

namespace coursepond::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kIp[] = "127.0.0.1";
/// Number of the loopback network of this process, so that two concurrent runs do not collide.
std::uint32_t network() { return 1 + static_cast<std::uint32_t>(getpid()) % 255; }

/// A promise checker with one machine, whose process and server are never started. Times are
/// relative to origin().
class CheckerBench : public testing::LoopbackBench {
 public:
  CheckerBench()
      : environment_(context_),
        store_(context_),
        versions_({"stock"}),
        checker_(Bounds(), ledger_, versions_, faults_, machines_, origin()) {
    SoakContext soak{context_,
                     environment_,
                     store_,
                     ledger_,
                     faults_,
                     [](const auto&, const auto&, const auto&) {},
                     [](std::uint64_t) {},
                     [](const auto&, const auto&) {},
                     [](const auto&) {}};
    MachineSettings settings;
    settings.name = "m1";
    settings.service = "stock";
    settings.network = network();
    machines_.push_back(std::make_unique<Machine>(soak, settings));
  }

  static TimePoint origin() { return TimePoint(seconds(1000)); }
  static TimePoint at(std::int64_t ms) { return origin() + milliseconds(ms); }

  void writeVersion(std::int64_t ms, std::size_t added, std::size_t removed) {
    versions_.prepare(added, removed);
    versions_.acknowledge(at(ms));
  }
  /// Adds a request that was answered 50 ms after it was sent.
  Request& addRequest(std::size_t route, std::int64_t sent_ms, int status) {
    Request request;
    request.id = "r" + std::to_string(ledger_.all().size());
    request.machine = "m1";
    request.node_incarnation = 1;
    request.route = route;
    request.is_repeatable = versions_.route(route).is_repeatable;
    request.sent = at(sent_ms);
    request.ended = at(sent_ms + 50);
    request.deadline = seconds(2);
    request.end = RequestEnd::kAnswered;
    request.status = status;
    request.is_from_server = status == 200;
    return *ledger_.open(std::move(request));
  }
  void addRun(Request& request, bool was_cut) {
    request.runs.push_back({"i-1", "m1", request.sent, request.ended, was_cut});
  }
  std::vector<std::string> violationsOf(const Request& request) {
    const std::size_t before = checker_.violations().size();
    checker_.onEnd(request);
    checker_.checkEnded(at(1'000'000));
    return kindsFrom(before);
  }
  std::vector<std::string> violationsOfAll() {
    const std::size_t before = checker_.violations().size();
    checker_.checkAll();
    return kindsFrom(before);
  }
  void crash(std::int64_t ms) { checker_.onCrash(kCrasher, at(ms)); }
  /// Makes a crashing request that was sent at m1 arrive at the server there.
  std::vector<std::string> violationsOnArrival(std::int64_t ms) {
    Request& request = addRequest(0, ms, 502);
    request.crasher = kCrasher;
    const std::size_t before = checker_.violations().size();
    checker_.onArrival(*machines_.front(), "i-1", request.id, &request, at(ms));
    return kindsFrom(before);
  }
  /// Makes a request arrive at the server of m1 as it is sent.
  std::vector<std::string> violationsOnArrivalOf(const Request& request) {
    const std::size_t before = checker_.violations().size();
    checker_.onArrival(*machines_.front(), "i-1", request.id, &request, request.sent);
    return kindsFrom(before);
  }
  /// Makes the server i-1 of m1 report a limit from this moment on.
  void limit(std::int64_t ms, std::optional<double> per_second) {
    checker_.onLimit("i-1", per_second, at(ms));
  }
  /// Makes m1 forward an answer of i-1 with these notices.
  void forward(std::int64_t ms, bool has_limit, bool says_leaving) {
    Request& request = addRequest(0, ms - 50, 200);
    request.answered_by = "i-1";
    request.has_limit = has_limit;
    request.says_leaving = says_leaving;
    checker_.onEnd(request);
  }
  /// Makes requests of m1 arrive at i-1 with this interval.
  std::vector<std::string> violationsOfArrivals(std::int64_t from_ms, std::int64_t to_ms,
                                                std::int64_t interval_ms) {
    const std::size_t before = checker_.violations().size();
    for (std::int64_t ms = from_ms; ms < to_ms; ms += interval_ms) {
      Request& request = addRequest(0, ms, 200);
      checker_.onArrival(*machines_.front(), "i-1", request.id, &request, at(ms));
    }
    return kindsFrom(before);
  }
  /// Makes a request arrive at i-1 this long after its client has given it up.
  std::vector<std::string> violationsOfGone(std::int64_t late_ms) {
    Request& request = addRequest(0, 20'000, 0);
    request.end = RequestEnd::kGivenUp;
    const TimePoint arrival = request.ended + milliseconds(late_ms);
    const std::size_t before = checker_.violations().size();
    checker_.onArrival(*machines_.front(), "i-1", request.id, &request, arrival);
    return kindsFrom(before);
  }
  PromiseChecker& checker() { return checker_; }
  static constexpr std::uint64_t kCrasher = 1;
  FaultLog& faults() { return faults_; }
  std::size_t newestMarker() const { return versions_.markers().back(); }

 private:
  std::vector<std::string> kindsFrom(std::size_t first) const {
    std::vector<std::string> kinds;
    for (std::size_t index = first; index < checker_.violations().size(); ++index) {
      kinds.push_back(checker_.violations()[index].kind);
    }
    return kinds;
  }

  runtime::AsioEnvironment environment_;
  platform::StoreStandIn store_;
  Ledger ledger_;
  FaultLog faults_;
  VersionHistory versions_;
  PromiseChecker::Machines machines_;
  PromiseChecker checker_;
};

using Kinds = std::vector<std::string>;

constexpr std::size_t kReadRoute = 0;
constexpr std::size_t kWriteRoute = 1;

}  // namespace

TEST_CASE("a request that reaches a server without a route to its service is a violation") {
  CheckerBench bench;
  bench.writeVersion(0, 1, 0);
  Request& proper = bench.addRequest(0, 5000, 200);
  CHECK(bench.violationsOnArrivalOf(proper).empty());
  Request& no_route = bench.addRequest(0, 5000, 404);
  no_route.lacks_slash = true;
  CHECK(bench.violationsOf(no_route).empty());
  CHECK(bench.violationsOnArrivalOf(no_route) == std::vector<std::string>{"wrong_route"});
  no_route.status = 200;
  CHECK(bench.violationsOf(no_route) == std::vector<std::string>{"wrong_route"});
}

TEST_CASE(
    "a request that continues to crash servers is a violation, on machines without faults only") {
  CheckerBench bench;
  bench.writeVersion(0, 0, 0);
  bench.crash(10'000);
  bench.crash(20'000);
  for (int count = 0; count < 10; ++count) CHECK(bench.violationsOnArrival(25'000 + count).empty());
  bench.crash(30'000);
  // Within `contact` (3 s), not all nodes can know of the crash.
  for (int count = 0; count < 10; ++count) CHECK(bench.violationsOnArrival(32'000 + count).empty());
  bench.faults().end(bench.faults().begin("m1", FaultKind::kUnplanned, bench.at(33'000)),
                     bench.at(34'000));
  for (int count = 0; count < 10; ++count) CHECK(bench.violationsOnArrival(36'000 + count).empty());
  for (int count = 0; count < 3; ++count) CHECK(bench.violationsOnArrival(40'000 + count).empty());
  CHECK(bench.violationsOnArrival(41'000) == Kinds{"crashes_on"});
}

TEST_CASE(
    "a version that is not in force after its bound is a violation, on machines without faults "
    "only") {
  CheckerBench bench;
  bench.writeVersion(0, 1, 0);
  bench.writeVersion(10'000, 1, 0);
  const std::size_t added = bench.newestMarker();
  CHECK(bench.violationsOf(bench.addRequest(added, 11'900, 404)).empty());
  CHECK(bench.violationsOf(bench.addRequest(added, 12'100, 404)) == Kinds{"version_late"});
  bench.faults().end(bench.faults().begin("m1", FaultKind::kUnplanned, bench.at(12'500)),
                     bench.at(13'000));
  CHECK(bench.violationsOf(bench.addRequest(added, 15'900, 404)).empty());
  CHECK(bench.violationsOf(bench.addRequest(added, 16'100, 404)) == Kinds{"version_late"});
}

TEST_CASE("a removed route that is still served and a base route that is not are violations") {
  CheckerBench bench;
  bench.writeVersion(0, 1, 0);
  const std::size_t removed = bench.newestMarker();
  bench.writeVersion(10'000, 1, 1);
  CHECK(bench.violationsOf(bench.addRequest(removed, 11'000, 200)).empty());
  CHECK(bench.violationsOf(bench.addRequest(removed, 12'100, 200)) == Kinds{"version_late"});
  CHECK(bench.violationsOf(bench.addRequest(kReadRoute, 100, 404)) == Kinds{"denied"});
}

TEST_CASE(
    "a version that goes back within the lifetime of a node process is a violation, even where no "
    "bound holds") {
  CheckerBench bench;
  bench.writeVersion(0, 1, 0);
  bench.writeVersion(10'000, 1, 0);
  const std::size_t added = bench.newestMarker();
  bench.faults().begin("m1", FaultKind::kUnplanned, bench.at(9'000));
  CHECK(bench.violationsOf(bench.addRequest(added, 10'100, 200)).empty());
  CHECK(bench.violationsOf(bench.addRequest(added, 11'000, 404)).empty());
  CHECK(bench.violationsOf(bench.addRequest(added, 12'400, 404)) == Kinds{"version_went_back"});
  Request& other_incarnation = bench.addRequest(added, 12'500, 404);
  other_incarnation.node_incarnation = 2;
  CHECK(bench.violationsOf(other_incarnation).empty());
}

TEST_CASE("an unrepeatable request that runs twice or despite its refusal is a violation") {
  CheckerBench bench;
  bench.writeVersion(0, 1, 0);
  Request& refused = bench.addRequest(kWriteRoute, 100, 503);
  CHECK(bench.violationsOfAll().empty());
  bench.addRun(refused, true);
  CHECK(bench.violationsOfAll() == Kinds{"refused_but_ran"});
  refused.status = 502;
  CHECK(bench.violationsOfAll().empty());
  bench.addRun(refused, true);
  CHECK(bench.violationsOfAll() == Kinds{"ran_twice"});
}

TEST_CASE("a request cut by a planned stop is a violation, unless another fault excuses it") {
  CheckerBench bench;
  bench.writeVersion(0, 1, 0);
  bench.faults().begin("m1", FaultKind::kPlannedStop, bench.at(9'900));
  Request& cut = bench.addRequest(kReadRoute, 10'000, 0);
  cut.end = RequestEnd::kCut;
  CHECK(bench.violationsOf(cut).empty());  // Not forwarded, and within the slack.
  bench.addRun(cut, true);
  CHECK(bench.violationsOf(cut) == Kinds{"cut_by_stop"});
  Request& broken_off = bench.addRequest(kReadRoute, 10'000, 502);
  CHECK(bench.violationsOf(broken_off).empty());
  bench.addRun(broken_off, true);
  CHECK(bench.violationsOf(broken_off) == Kinds{"broken_off_by_stop"});
  bench.faults().end(bench.faults().begin("m1", FaultKind::kUnplanned, bench.at(8'000)),
                     bench.at(8'100));
  CHECK(bench.violationsOf(cut).empty());
}

TEST_CASE("a failed request and a held one are violations when there is no fault") {
  CheckerBench bench;
  bench.writeVersion(0, 1, 0);
  Request& failed = bench.addRequest(kReadRoute, 10'000, 502);
  CHECK(bench.violationsOf(failed) == Kinds{"failed_when_calm"});
  Request& held = bench.addRequest(kReadRoute, 10'000, 0);
  held.end = RequestEnd::kGivenUp;
  held.ended = bench.at(13'000);
  CHECK(bench.violationsOf(held) == Kinds{"held"});
  bench.faults().begin("store", FaultKind::kUnplanned, bench.at(9'000));
  CHECK(bench.violationsOf(failed).empty());
  CHECK(bench.violationsOf(held).empty());
}

TEST_CASE("more requests than a reported limit allows are a violation after the contact time") {
  CheckerBench bench;
  bench.writeVersion(0, 1, 0);
  bench.limit(10'000, 10.0);
  bench.forward(10'200, true, false);
  // 20 a second for 2.3 s do not exceed 1.5 * 10 * 4 + 5.
  CHECK(bench.violationsOfArrivals(10'700, 13'000, 50).empty());
  CHECK(bench.violationsOfArrivals(13'000, 15'000, 50) == Kinds{"over_limit"});
  CHECK(bench.violationsOfArrivals(30'000, 40'000, 70).empty());
}

TEST_CASE("arrivals from machines that were not told of a limit or were disturbed do not count") {
  CheckerBench bench;
  bench.writeVersion(0, 1, 0);
  bench.limit(10'000, 1.0);
  CHECK(bench.violationsOfArrivals(14'000, 18'000, 50).empty());
  bench.forward(18'000, true, false);
  bench.checker().onNodeDisturbed("m1");
  CHECK(bench.violationsOfArrivals(19'000, 22'000, 50).empty());
  bench.forward(22'000, true, false);
  CHECK(bench.violationsOfArrivals(22'600, 23'400, 50) == Kinds{"over_limit"});
  bench.limit(24'000, std::nullopt);
  CHECK(bench.violationsOfArrivals(24'500, 28'000, 50).empty());
}

TEST_CASE("a request sent after the drain time to a server that said it leaves is a violation") {
  CheckerBench bench;
  bench.writeVersion(0, 1, 0);
  bench.forward(10'000, false, true);
  CHECK(bench.violationsOfArrivals(10'500, 12'000, 500).empty());
  CHECK(bench.violationsOfArrivals(12'100, 12'200, 100) ==
        Kinds{"late_at_server_that_said_leaving"});
  bench.checker().onNodeDisturbed("m1");
  CHECK(bench.violationsOfArrivals(12'300, 13'000, 500).empty());
}

TEST_CASE("requests that reach servers long after their clients have left are a violation") {
  CheckerBench bench;
  for (int number = 0; number < 10; ++number) CHECK(bench.violationsOfGone(450).empty());
  // A few may be lost and sent again.
  for (int number = 0; number < 3; ++number) CHECK(bench.violationsOfGone(600).empty());
  CHECK(bench.violationsOfGone(600) == std::vector<std::string>{"reached_after_leaving"});
  SUBCASE("but not around a fault") {
    bench.faults().end(bench.faults().begin("m1", FaultKind::kUnplanned, bench.at(20'300)),
                       bench.at(20'400));
    CHECK(bench.violationsOfGone(600).empty());
  }
}

TEST_CASE("the same seed gives the same schedule, and another seed another one") {
  const auto text = [](std::uint64_t seed) {
    ScheduleSettings settings;
    settings.seed = seed;
    std::string lines;
    for (const Event& event : makeSchedule(settings)) lines += describeEvent(event) + "\n";
    return lines;
  };
  CHECK(text(7) == text(7));
  CHECK(text(7) != text(8));
}

TEST_CASE("a link forwards, limits its rate, falls silent, resets and refuses") {
  testing::LoopbackBench bench;
  auto server = std::move(*runtime::HttpServer::create(
      bench.context(), Address{kIp, 0}, {},
      [](const runtime::HttpRequest&, const runtime::HttpResponder& responder) {
        runtime::HttpResponse response;
        response.body.assign(100'000, 'x');
        responder.respond(std::move(response));
      }));
  const Address front{"127." + std::to_string(network()) + ".3.1", 8300};
  Link link(bench.context());
  link.forward(front, server->address(), Opener::kOthers);
  runtime::HttpClient client(bench.context());
  std::optional<Result<runtime::HttpClientResponse>> answer;
  const auto send = [&](Duration timeout) {
    runtime::HttpClientRequest request;
    request.method = "POST";  // Not retried by the client.
    answer.reset();
    client.request(front, std::move(request), timeout,
                   [&](auto received) { answer = std::move(received); });
  };
  const auto ask = [&](Duration timeout) {
    send(timeout);
    bench.runUntil([&] { return answer.has_value(); });
    return answer && answer->has_value() && (**answer).body.size() == 100'000;
  };
  CHECK(ask(seconds(5)));

  const auto started = std::chrono::steady_clock::now();
  link.setRate(250'000);
  CHECK(ask(seconds(5)));
  CHECK(std::chrono::steady_clock::now() - started >= milliseconds(380));
  link.setRate(0);

  link.setSilent(Direction::kOut, true);
  CHECK_FALSE(ask(milliseconds(300)));
  link.setSilent(Direction::kOut, false);
  CHECK(ask(seconds(5)));

  link.setDelay(milliseconds(200));
  send(seconds(5));
  bench.context().run_for(milliseconds(50));
  link.reset();
  CHECK(bench.runUntil([&] { return answer.has_value(); }));
  CHECK_FALSE(answer->has_value());

  link.setDelay(Duration(0));
  link.setOpen(false);
  link.reset();
  CHECK_FALSE(ask(seconds(1)));
  link.setOpen(true);
  CHECK(ask(seconds(5)));
}

TEST_CASE("a network on which a soak listens is not free for another one") {
  using Tcp = boost::asio::ip::tcp;
  std::uint32_t network = 1;
  while (!isNetworkFree(network)) ++network;
  boost::asio::io_context context;
  // The address at which the first machine reaches the store.
  const auto ip = boost::asio::ip::make_address("127." + std::to_string(network) + ".1.1");
  const Tcp::acceptor store(context, Tcp::endpoint(ip, 8309));
  CHECK_FALSE(isNetworkFree(network));
}

}  // namespace coursepond::soak
