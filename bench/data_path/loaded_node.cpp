#include "loaded_node.h"

#include <cmath>
#include <utility>

namespace coursepond::data_path {
namespace {

constexpr Duration kOneWay = kRoundTrip / 2;
constexpr double kMicrosecondsPerSecond = 1e6;
/// Finished exchanges are freed once the list has this many entries.
constexpr std::size_t kSweepSize = 1000;

std::size_t serverIndex(const model::Endpoint& endpoint) { return endpoint.address.port; }

}  // namespace

/// One request and its I/O. Each message to or from a server takes kOneWay.
class LoadedNode::Exchange final : public proxy::RequestIo {
 public:
  Exchange(LoadedNode& node, proxy::RequestHead head)
      : node_(node),
        measured_(node.measuring_),
        arrived_(node.time_.now()),
        flow_(std::move(head), node.state_, node.environment_, *this) {}

  void start() { flow_.start(); }
  bool finished() const { return finished_ && open_events_ == 0; }

  void startAttempt(const proxy::AttemptPlan& plan) override {
    const proxy::AttemptId id = plan.id;
    SharedServer& server = *node_.servers_[serverIndex(plan.endpoint)];
    current_ = id;
    after(kOneWay, [this, id, &server] {
      if (id != current_ || finished_) return;
      cancel_ = server.run([this, id](const ServerReply& reply) {
        after(kOneWay, [this, id, reply] { onReply(id, reply); });
      });
    });
  }

  void cancelAttempt(proxy::AttemptId) override {
    current_ = 0;
    if (cancel_) after(kOneWay, std::exchange(cancel_, nullptr));
  }
  void discardAnswer(proxy::AttemptId) override { current_ = 0; }
  void forwardAnswer(proxy::AttemptId) override { forwarded_ = true; }

  void answerLocally(const proxy::LocalAnswer& answer) override {
    finished_ = true;
    if (!measured_) return;
    ++(answer.outcome == proxy::Outcome::kNotRun ? node_.view_.not_run : node_.view_.unknown);
  }

 private:
  void after(Duration delay, std::function<void()> action) {
    ++open_events_;
    node_.time_.schedule(delay, [this, action = std::move(action)] {
      --open_events_;
      action();
    });
  }

  void onReply(proxy::AttemptId id, const ServerReply& reply) {
    if (id != current_ || finished_) return;
    cancel_ = nullptr;
    if (reply.lost) return flow_.onAttemptFailed(id, proxy::AttemptFailure::kLostAfterSend);
    flow_.onAnswerHead(id, reply.head);
    if (!std::exchange(forwarded_, false)) return;
    finished_ = true;
    flow_.onAnswerComplete(id);
    recordAnswer();
  }

  void recordAnswer() {
    CallerView& view = node_.view_;
    const auto second = static_cast<std::size_t>(node_.time_.elapsed() / std::chrono::seconds(1));
    if (view.answered_per_second.size() <= second) view.answered_per_second.resize(second + 1);
    ++view.answered_per_second[second];
    if (!measured_) return;
    ++view.answered;
    view.latencies.push_back(node_.time_.now() - arrived_);
  }

  LoadedNode& node_;
  bool measured_;
  TimePoint arrived_;
  proxy::RequestFlow flow_;
  proxy::AttemptId current_ = 0;
  SharedServer::Cancel cancel_;
  bool forwarded_ = false;
  bool finished_ = false;
  int open_events_ = 0;
};

LoadedNode::LoadedNode(simulation::VirtualTime& time, std::uint64_t seed,
                       const proxy::Settings& settings, const model::SnapshotPointer& snapshot,
                       std::size_t nodes, Servers& servers)
    : time_(time),
      random_(seed),
      environment_(time, seed + 1),
      state_(ZoneId("a"), settings, environment_),
      servers_(servers) {
  state_.setNodeCount(nodes);
  state_.apply(snapshot);
  model::EndpointSet set{snapshot->services.begin()->first, ZoneId("a"), Generation(1), {}};
  for (std::size_t index = 0; index < servers.size(); ++index) {
    set.endpoints.push_back({EndpointId("server-" + std::to_string(index)),
                             Address{"127.0.0.1", static_cast<std::uint16_t>(index)}, ZoneId("a"),
                             model::MachineState::kLive});
  }
  state_.updateEndpoints(set);
}

LoadedNode::~LoadedNode() = default;

void LoadedNode::beginLoad(double requests_per_second, Duration deadline) {
  requests_per_second_ = requests_per_second;
  deadline_ = deadline;
  scheduleArrival();
}

void LoadedNode::scheduleArrival() {
  const double fraction = random_.positiveFraction();
  const double gap = -std::log(fraction) * kMicrosecondsPerSecond / requests_per_second_;
  time_.schedule(Duration(static_cast<Duration::rep>(gap)), [this] { arrive(); });
}

void LoadedNode::arrive() {
  scheduleArrival();
  sweep();
  proxy::RequestHead head;
  head.method = "GET";
  head.host = "mesh";
  head.path = "/";
  head.deadline = deadline_;
  if (measuring_) ++view_.sent;
  exchanges_.push_back(std::make_unique<Exchange>(*this, std::move(head)));
  exchanges_.back()->start();
}

void LoadedNode::sweep() {
  if (exchanges_.size() < kSweepSize) return;
  exchanges_.remove_if([](const auto& exchange) { return exchange->finished(); });
}

}  // namespace coursepond::data_path
