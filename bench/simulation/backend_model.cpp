#include "backend_model.h"

#include <algorithm>

namespace coursepond::simulation {
namespace {

constexpr Duration kColdStart = std::chrono::seconds(5);
constexpr std::uint32_t kColdSlowness = 3;
/// A leaving server still accepts work for this long.
constexpr Duration kLeavingGrace = std::chrono::seconds(3);
constexpr std::size_t kQueuePerSlot = 2;
constexpr double kShedPart = 0.8;
/// Delay between the parts of one answer, so that a crash can truncate it.
constexpr Duration kChunkInterval = std::chrono::milliseconds(4);

void receiveAtNode(UpstreamConnection& connection, const ServerEvent& event) {
  const bool closed = event.kind == ServerEvent::Kind::kClosed;
  if (closed) connection.open_at_server = false;
  if (!closed && event.sequence != connection.events_received + 1) return;
  ++connection.events_received;
  if (!connection.open_at_node || !connection.handler) return;
  const auto handler = connection.handler;  // The call may replace the handler.
  handler(event);
}

}  // namespace

BackendModel::BackendModel(VirtualTime& time, Network& network, RequestChecks& checks,
                           std::uint64_t seed, const ServiceShape& service,
                           model::Endpoint endpoint)
    : time_(time),
      network_(network),
      checks_(checks),
      random_(seed),
      service_(service),
      endpoint_(std::move(endpoint)),
      started_(time.now()) {}

bool BackendModel::accept(const UpstreamConnectionPointer& connection) {
  if (!running_ || connections_.size() >= service_.connections) return false;
  connections_.insert(connection);
  return true;
}

void BackendModel::receive(const ServerRequest& request) {
  if (!running_ || !request.connection->open_at_server) return;
  checks_.onReceived(endpoint_.id, request.connection->node, request.sent);
  const bool full = waiting_.size() >= kQueuePerSlot * service_.slots;
  if (full || refusesNewWork() || (behaviour_.sheds && random_.chance(kShedPart))) {
    refuse(request);
    return;
  }
  waiting_.push_back(request);
  startWaiting();
}

void BackendModel::onClosedByNode(const UpstreamConnectionPointer& connection) {
  connection->open_at_server = false;
  connections_.erase(connection);
  std::erase_if(waiting_, [&connection](const ServerRequest& request) {
    return request.connection == connection;
  });
}

void BackendModel::startWaiting() {
  while (busy_slots_ < service_.slots && !waiting_.empty()) {
    const ServerRequest request = waiting_.front();
    waiting_.pop_front();
    if (request.deadline <= time_.now()) {
      refuse(request);
    } else {
      run(request);
    }
  }
}

void BackendModel::run(const ServerRequest& request) {
  ++busy_slots_;
  checks_.onRun(request.id, endpoint_.id);
  time_.schedule(serviceTime(), [this, alive = alive_, request] {
    if (*alive && running_) finish(request);
  });
}

void BackendModel::finish(const ServerRequest& request) {
  --busy_slots_;
  sendHead(request, 200, false);
  Duration delay = kChunkInterval;
  for (std::uint32_t chunk = 0; chunk < kAnswerChunks; ++chunk, delay += kChunkInterval) {
    sendLater(request, ServerEvent::Kind::kChunk, delay);
  }
  sendLater(request, ServerEvent::Kind::kEnd, delay);
  startWaiting();
}

void BackendModel::refuse(const ServerRequest& request) {
  sendHead(request, 503, true);
  sendLater(request, ServerEvent::Kind::kEnd, kChunkInterval);
}

void BackendModel::sendLater(const ServerRequest& request, ServerEvent::Kind kind, Duration delay) {
  time_.schedule(delay, [this, alive = alive_, request, kind] {
    if (*alive) send(request.connection, {kind, request.id, {}});
  });
}

void BackendModel::sendHead(const ServerRequest& request, int status, bool not_run) {
  proxy::AnswerHead head;
  head.status = status;
  head.not_run = not_run;
  head.draining = leaving_since_.has_value() && behaviour_.announces_leaving;
  if (behaviour_.limit) head.limit = {proxy::LimitReport::Kind::kLimit, *behaviour_.limit};
  head.load = behaviour_.lies ? 0.0 : static_cast<double>(busy_slots_) / service_.slots;
  send(request.connection, {ServerEvent::Kind::kHead, request.id, head});
}

void BackendModel::send(const UpstreamConnectionPointer& connection, ServerEvent event) {
  event.sequence = ++connection->events_sent;
  network_.transmit(endpoint_.zone, connection->node_zone, [connection, event = std::move(event)] {
    connection->node_mailbox.deliver([connection, event] { receiveAtNode(*connection, event); });
  });
}

Duration BackendModel::serviceTime() {
  const bool cold = time_.now() - started_ < kColdStart;
  const std::uint32_t factor = behaviour_.slowness * (cold ? kColdSlowness : 1);
  return random_.between(service_.service_time / 2, service_.service_time * 2) * factor;
}

bool BackendModel::refusesNewWork() const {
  return leaving_since_ && time_.now() - *leaving_since_ > kLeavingGrace;
}

void BackendModel::beginLeaving() {
  if (!leaving_since_) leaving_since_ = time_.now();
}

void BackendModel::crash() {
  running_ = false;
  *alive_ = false;
  waiting_.clear();
  for (const UpstreamConnectionPointer& connection : connections_) {
    send(connection, {ServerEvent::Kind::kClosed, {}, {}});
  }
  connections_.clear();
}

}  // namespace coursepond::simulation
