#include "baselines.h"

#include <utility>

#include "distribution/compression.h"

namespace coursepond::bench {
namespace {

constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
constexpr Duration kLocalLatency = std::chrono::microseconds(200);
constexpr Duration kJitter = std::chrono::microseconds(300);
/// Size of the length, kind and version prefix of a pushed state.
constexpr double kFrameBytes = 8;
/// Size of one heartbeat in one direction, including its frame.
constexpr double kHeartbeatBytes = 12;

}  // namespace

PollingSystem::PollingSystem(const MeshShape& shape, simulation::VirtualTime& time,
                             simulation::PlatformModel& platform, Recorder& recorder,
                             std::uint64_t seed) {
  for (std::uint32_t node = 0; node < shape.nodes; ++node) {
    const NodeId id = nodeName(node);
    auto proxy = std::make_unique<Proxy>();
    proxy->in_platform_zone = zoneOfNode(shape, node) == zoneName(0);
    PlatformPoller::Events events{
        [&recorder, id](Version version, const std::string&) { recorder.onInForce(id, version); },
        [&recorder, id](Generation generation, const std::string&) {
          recorder.onWholeList(id, generation);
        }};
    proxy->poller = std::make_unique<PlatformPoller>(id, time, platform, proxy->traffic,
                                                     seed + node, std::move(events));
    proxies_.push_back(std::move(proxy));
  }
}

void PollingSystem::start() {
  for (const auto& proxy : proxies_) proxy->poller->start();
}

PhaseBytes PollingSystem::bytes() const {
  PhaseBytes bytes;
  for (const auto& proxy : proxies_) bytes.platform += proxy->traffic.bytes;
  return bytes;
}

std::vector<double> PollingSystem::bytesByNode() const {
  std::vector<double> bytes;
  for (const auto& proxy : proxies_) bytes.push_back(proxy->traffic.bytes);
  return bytes;
}

double PollingSystem::crossingBytes() const {
  double bytes = 0;
  for (const auto& proxy : proxies_) bytes += proxy->in_platform_zone ? 0 : proxy->traffic.bytes;
  return bytes;
}

std::uint64_t PollingSystem::sourceReads() const {
  std::uint64_t reads = 0;
  for (const auto& proxy : proxies_) reads += proxy->traffic.reads;
  return reads;
}

PushingSystem::PushingSystem(const MeshShape& shape, simulation::VirtualTime& time,
                             simulation::PlatformModel& platform, Recorder& recorder,
                             std::uint64_t seed)
    : shape_(shape),
      time_(time),
      recorder_(recorder),
      random_(seed),
      poller_(NodeId("server"), time, platform, traffic_, seed,
              {[this](Version version, const std::string& document) {
                 version_ = version;
                 document_ = document;
                 pushAll();
               },
               [this](Generation generation, const std::string& machines) {
                 generation_ = generation;
                 machines_ = machines;
                 pushAll();
               }}) {}

void PushingSystem::start() {
  poller_.start();
  exchangeHeartbeats();
}

PhaseBytes PushingSystem::bytes() const {
  PhaseBytes bytes;
  bytes.platform = traffic_.bytes;
  bytes.push = server_bytes_ + proxy_bytes_ * shape_.nodes;
  return bytes;
}

std::vector<double> PushingSystem::bytesByNode() const {
  std::vector<double> bytes(shape_.nodes, proxy_bytes_);
  bytes.push_back(server_bytes_);
  return bytes;
}

void PushingSystem::pushAll() {
  const double state =
      kFrameBytes + static_cast<double>(distribution::compressText(document_ + machines_).size());
  for (std::uint32_t node = 0; node < shape_.nodes; ++node) {
    server_bytes_ += state;
    if (zoneOfNode(shape_, node) != zoneName(0)) crossing_bytes_ += state;
    deliver(node);
  }
}

void PushingSystem::exchangeHeartbeats() {
  time_.schedule(kHeartbeatInterval, [this] { exchangeHeartbeats(); });
  server_bytes_ += kHeartbeatBytes * shape_.nodes;
  proxy_bytes_ += kHeartbeatBytes;
  crossing_bytes_ += 2 * kHeartbeatBytes * shape_.nodes * (shape_.zones - 1) / shape_.zones;
}

void PushingSystem::deliver(std::uint32_t node) {
  const bool same_zone = zoneOfNode(shape_, node) == zoneName(0);
  const Duration latency = same_zone ? kLocalLatency : shape_.zone_latency;
  time_.schedule(latency + random_.between(Duration(0), kJitter),
                 [this, node, version = version_, generation = generation_] {
                   if (version != Version()) recorder_.onInForce(nodeName(node), version);
                   recorder_.onWholeList(nodeName(node), generation);
                 });
}

}  // namespace coursepond::bench
