// A request that crashes its servers, among sound ones that begin alike, over real connections:
// caller, egress, ingress and server.

#include <doctest/doctest.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <string>
#include <vector>

#include "admission/crash_suspects.h"
#include "egress/egress_flow.h"
#include "egress/egress_state.h"
#include "ingress/ingress_flow.h"
#include "ingress/ingress_state.h"
#include "runtime/proxy_server_fixture.h"

namespace coursepond::runtime {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Length of the part that all bodies have in common.
constexpr std::size_t kCommonBytes = 4096;
/// Runs of the crashing request that are needed to recognize it, and the trial that follows at
/// once. The next trial is allowed later than the tests end.
constexpr int kMaxRuns = 3;

constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;

enum class Framing { kLength, kChunked };
enum class Pace { kAtOnce, kInTwoParts };

/// How the requests of a test are sent.
struct Shape {
  std::size_t body_bytes = 6000;
  Framing framing = Framing::kLength;
  Pace pace = Pace::kAtOnce;
  std::string path = "/seat";  ///< "/seat" may not be repeated, "/stock" may.
  bool expects_continue = false;
};

/// Returns a body that differs from others of its size after the common part only.
std::string bodyOf(const std::string& name, std::size_t size) {
  if (size <= kCommonBytes + name.size()) return std::string(size - name.size(), 't') + name;
  std::string body = std::string(kCommonBytes, 't') + name;
  body.resize(size, '.');
  return body;
}

std::string frame(const std::string& body, Framing framing) {
  if (framing == Framing::kLength) {
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  constexpr std::size_t kChunkBytes = 3000;
  std::string bytes = "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t position = 0; position < body.size(); position += kChunkBytes) {
    const std::string chunk = body.substr(position, kChunkBytes);
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx", chunk.size());
    bytes.append(size.data()).append("\r\n").append(chunk).append("\r\n");
  }
  return bytes + "0\r\n\r\n";
}

/// Parses the requests that a server has received on one connection.
class ReceivedRequest {
 public:
  explicit ReceivedRequest(const std::string& bytes)
      : bytes_(bytes), head_end_(bytes.find("\r\n\r\n")) {}

  bool hasHead() const { return head_end_ != std::string::npos; }
  std::string field(const std::string& name) const {
    const std::size_t begin = bytes_.find("\r\n" + name + ": ");
    if (begin > head_end_) return "";
    const std::size_t value = begin + name.size() + 4;
    return bytes_.substr(value, bytes_.find("\r\n", value) - value);
  }
  /// Returns the body as far as it has been received, and sets `end` if that is all of it.
  std::string body(std::optional<std::size_t>& end) const {
    const std::size_t begin = head_end_ + 4;
    if (field("Transfer-Encoding") != "chunked") {
      const std::string length = field("Content-Length");
      const std::size_t size = length.empty() ? 0 : std::stoul(length);
      if (bytes_.size() >= begin + size) end = begin + size;
      return bytes_.substr(begin, size);
    }
    std::string body;
    for (std::size_t position = begin;;) {
      const std::size_t line = bytes_.find("\r\n", position);
      if (line == std::string::npos) return body;
      std::size_t size = 0;
      std::from_chars(bytes_.data() + position, bytes_.data() + line, size, 16);
      body += bytes_.substr(line + 2, size);
      position = line + 2 + size + 2;
      if (position > bytes_.size()) return body;
      if (size > 0) continue;
      end = position;
      return body;
    }
  }

 private:
  const std::string& bytes_;
  std::size_t head_end_;
};

/// One node with its server, which ends when it runs the request with the crashing body.
class LookAlikeNode {
 public:
  LookAlikeNode()
      : server_(context_, [this](RawServer::Connection& connection) { onBytes(connection); }),
        retries_(environment_, {.burst = 100}),
        ingress_(ingressSettings(), retries_, environment_) {
    openIngress();
    openEgress();
  }

  /// Sends a request and returns the status of its answer; zero if there is none.
  int send(const std::string& body, const Shape& shape) {
    // A caller whose answer came early still has bytes to write, which refer to its socket.
    callers_.push_back(std::make_unique<RawCaller>(context_, egress_server_->address().port));
    RawCaller& caller = *callers_.back();
    const std::string expect = shape.expects_continue ? "Expect: 100-continue\r\n" : "";
    const std::string bytes = "POST " + shape.path + " HTTP/1.1\r\nHost: shop\r\nX-Request-Id: r" +
                              std::to_string(++last_request_) + "\r\n" + expect +
                              frame(body, shape.framing);
    const std::size_t head = bytes.find("\r\n\r\n") + 4;
    if (shape.expects_continue) {
      caller.sendLater(bytes.substr(0, head));
      if (caller.receives(" 100 Continue\r\n\r\n")) caller.sendLater(bytes.substr(head));
    } else if (shape.pace == Pace::kInTwoParts) {
      const std::size_t first =
          head + std::min(body.size() - 1, body.size() / 2 + kCommonBytes / 2);
      caller.sendLater(bytes.substr(0, first));
      context_.run_for(milliseconds(10));
      caller.sendLater(bytes.substr(first));
    } else {
      caller.sendLater(bytes);
    }
    caller.runUntil([&] { return statusOf(caller.received) >= 200 || caller.ended; });
    caller.close();
    ingress_.serverEnds().onRestart(environment_.now());
    return statusOf(caller.received);
  }

  /// Makes the server end as soon as it has received this many bytes of the body.
  void setCrashing(std::string body, std::size_t crash_after) {
    crashing_ = std::move(body);
    crash_after_ = crash_after;
  }
  int crashes() const { return crashes_; }
  int runs() const { return runs_; }
  admission::CrashSuspects& suspects() { return suspects_; }

 private:
  /// Returns the status of the last head in `received`.
  static int statusOf(const std::string& received) {
    const std::size_t line = received.rfind("HTTP/1.1 ");
    const bool is_whole = line != std::string::npos && received.find("\r\n\r\n", line) != line;
    return is_whole ? std::atoi(received.c_str() + line + 9) : 0;
  }

  static ingress::Settings ingressSettings() {
    ingress::Settings settings;
    settings.own_service = ServiceName("stock");
    return settings;
  }

  static model::ServerEntry entryOf(const Address& address) {
    model::ServerEntry entry;
    entry.id = EndpointId("s1");
    entry.service = ServiceName("stock");
    entry.address = address;
    entry.zone = ZoneId("a");
    entry.slots = 4;
    return entry;
  }

  void openIngress() {
    ingress_.setAddress(server_.address());
    ingress_.setServer(entryOf(server_.address()));
    ingress_.setSuspects(&suspects_);
    ingress_.serverEnds().onEnd([this](ServerEndId end, auto requests) {
      suspects_.onServerEnd(end, requests, environment_.now());
    });
    ProxyServerSettings settings;
    settings.answer_style = AnswerStyle::kIngress;
    settings.buffered_answer_bytes = 65536;
    ExchangeSource source;
    source.make = [this](proxy::RequestHead head, proxy::RequestIo& io) {
      return ingress::makeIngressFlow(std::move(head), ingress_, environment_, io);
    };
    source.policy = &ingress_;
    source.begin_stop = [] {};
    ingress_server_ =
        std::move(ProxyServer::create(context_, settings, std::move(source), environment_).value());
  }

  void openEgress() {
    egress::Settings egress_settings;
    egress_settings.own_zone = ZoneId("a");
    egress_settings.own_service = ServiceName("shop");
    egress_settings.ingress_port = ingress_server_->address().port;
    egress_ = std::make_unique<egress::EgressState>(egress_settings, retries_, environment_);
    auto snapshot = std::make_shared<model::Snapshot>();
    snapshot->version = Version(1);
    snapshot->routes = {makeRoute("/stock", model::Repeatability::kAlways),
                        makeRoute("/seat", model::Repeatability::kNever)};
    REQUIRE(egress_->apply(snapshot));
    egress_->directory().replaceAll({entryOf(server_.address())}, environment_.now());
    egress_->onDirectoryChanged();
    egress_->setSuspects(&suspects_);
    ProxyServerSettings settings;
    settings.answer_style = AnswerStyle::kEgress;
    settings.buffered_answer_bytes = 65536;
    ExchangeSource source;
    source.make = [this](proxy::RequestHead head, proxy::RequestIo& io) {
      return egress::makeEgressFlow(std::move(head), *egress_, environment_, io);
    };
    source.policy = egress_.get();
    source.begin_stop = [] {};
    egress_server_ =
        std::move(ProxyServer::create(context_, settings, std::move(source), environment_).value());
  }

  static model::Route makeRoute(const std::string& prefix, model::Repeatability repeatability) {
    model::Route route;
    route.name = RouteName(prefix);
    route.match.path_prefix = prefix;
    route.service = ServiceName("stock");
    route.repeatability = repeatability;
    route.longest_hold = seconds(8);
    route.target_latency = seconds(4);
    route.max_attempts = 2;
    return route;
  }

  void onBytes(RawServer::Connection& connection) {
    const ReceivedRequest request(connection.received);
    if (!request.hasHead()) return;
    std::optional<std::size_t> end;
    const std::string body = request.body(end);
    const bool is_crashing = crashing_.starts_with(body) && body.size() >= crash_after_;
    if (is_crashing && (end || crash_after_ < crashing_.size())) return crash();
    if (!end) return;
    ++runs_;
    const std::string id = request.field("X-Request-Id");
    connection.received.erase(0, *end);
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: " + id + "\r\n\r\nok");
  }

  void crash() {
    ++crashes_;
    for (const auto& connection : server_.connections) {
      boost::system::error_code ignored;
      connection->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      connection->socket.close(ignored);
    }
    server_.connections.clear();
  }

  boost::asio::io_context context_;
  AsioEnvironment environment_{context_};
  RawServer server_;
  proxy::RetryAccounts retries_;
  admission::CrashSuspects suspects_;
  ingress::IngressState ingress_;
  std::unique_ptr<egress::EgressState> egress_;
  std::unique_ptr<ProxyServer> ingress_server_;
  std::unique_ptr<ProxyServer> egress_server_;
  std::vector<std::unique_ptr<RawCaller>> callers_;
  std::string crashing_;
  std::size_t crash_after_ = 0;
  int last_request_ = 0;
  int crashes_ = 0;
  int runs_ = 0;
};

/// What callers got from a node to which the crashing request and sound ones were sent in turn.
struct Outcome {
  int crashes = 0;
  int sound = 0;       ///< Sound requests that were sent.
  int served = 0;      ///< Of these, answered with 200.
  int unanswered = 0;  ///< Crashing requests without any answer.
  int refused = 0;     ///< Crashing requests answered with 503: not run.
};

constexpr int kRounds = 7;

/// Sends the crashing request in these shapes by turns. `crash_after`: how much of its body the
/// server has received when it ends; zero: all of it.
Outcome play(const std::vector<Shape>& shapes, std::size_t crash_after = 0) {
  LookAlikeNode node;
  const std::string crashing = bodyOf("crash", shapes[0].body_bytes);
  node.setCrashing(crashing, crash_after > 0 ? crash_after : crashing.size());
  Outcome outcome;
  std::size_t next_shape = 0;
  const auto nextShape = [&] { return shapes[next_shape++ % shapes.size()]; };
  for (int round = 0; round < kRounds; ++round) {
    const int status = node.send(crashing, nextShape());
    if (status == 0) ++outcome.unanswered;
    if (status == 503) ++outcome.refused;
    for (int number = 0; number < 3; ++number) {
      const std::string name = std::to_string(10'000 + round * 10 + number);
      ++outcome.sound;
      if (node.send(bodyOf(name, crashing.size()), nextShape()) == 200) ++outcome.served;
    }
  }
  outcome.crashes = node.crashes();
  return outcome;
}

/// `size`: length of the bodies. Those that an egress may hold are refused as not run.
void checkContained(const Outcome& outcome, std::size_t size) {
  CHECK(outcome.crashes >= 2);
  CHECK(outcome.crashes <= kMaxRuns);
  CHECK(outcome.unanswered == 0);
  if (size <= ProxyServerSettings().held_body_bytes) CHECK(outcome.refused >= kRounds - kMaxRuns);
  CHECK(outcome.served == outcome.sound);
}

/// On both sides of each limit that a body meets on its way.
const std::vector<std::size_t> kBodySizes = {
    100, 4096, 4097, 6000, 16'384, 16'385, 65'536, 65'537, 262'144, 300'000, kMebibyte, 1'500'000};

}  // namespace

// Guards against a crashing request that the answers to sound ones with the same beginning clear,
// so that it reaches servers without end.
TEST_CASE("sound requests that begin alike do not clear a crashing request, and are served") {
  for (const std::size_t size : kBodySizes) {
    for (const Framing framing : {Framing::kLength, Framing::kChunked}) {
      for (const Pace pace : {Pace::kAtOnce, Pace::kInTwoParts}) {
        for (const std::string path : {"/seat", "/stock"}) {
          CAPTURE(size);
          CAPTURE(static_cast<int>(framing));
          CAPTURE(static_cast<int>(pace));
          CAPTURE(path);
          checkContained(play({{size, framing, pace, path}}), size);
        }
      }
    }
  }
}

// Guards against the same when callers wait for 100 Continue: their requests start without a body.
TEST_CASE("a crashing request whose caller waits for 100 Continue is told apart from sound ones") {
  for (const std::size_t size : {std::size_t{100}, std::size_t{6000}, std::size_t{300'000}}) {
    CAPTURE(size);
    Shape shape;
    shape.body_bytes = size;
    shape.expects_continue = true;
    checkContained(play({shape}), size);
  }
}

// Guards against a crashing request that is not recognized when it comes in another shape.
TEST_CASE("a crashing request is recognized however its body is framed and paced") {
  for (const std::size_t size : kBodySizes) {
    CAPTURE(size);
    Shape expecting;
    expecting.body_bytes = size;
    expecting.expects_continue = true;
    checkContained(play({{size, Framing::kLength, Pace::kAtOnce},
                         {size, Framing::kChunked, Pace::kAtOnce},
                         {size, Framing::kLength, Pace::kInTwoParts},
                         expecting,
                         {size, Framing::kChunked, Pace::kInTwoParts}}),
                   size);
  }
}

// Guards against a request that is never recognized because its servers end before they have all of
// its body.
TEST_CASE("a request that ends servers before its body is whole is recognized") {
  for (const std::size_t size : {std::size_t{16'385}, std::size_t{300'000}, kMebibyte}) {
    CAPTURE(size);
    const Outcome outcome = play({{size, Framing::kLength, Pace::kInTwoParts}}, kCommonBytes + 100);
    CHECK(outcome.crashes >= 2);
    // The first end is recorded by the head alone.
    CHECK(outcome.crashes <= kMaxRuns + 1);
    CHECK(outcome.served == outcome.sound);
  }
}

// Guards against the same with a body that an egress may not hold. Known to fail.
TEST_CASE("a request that ends servers before they have its very long body is recognized" *
          doctest::should_fail()) {
  constexpr std::size_t kSize = 1'500'000;
  const Outcome outcome = play({{kSize, Framing::kLength, Pace::kInTwoParts}}, kCommonBytes + 100);
  CHECK(outcome.crashes <= kMaxRuns + 1);
}

}  // namespace coursepond::runtime
