#include "baseline_process.h"

#include <cstdlib>
#include <string_view>
#include <utility>

namespace coursepond::bench {
namespace {

constexpr Duration kPollInterval = std::chrono::seconds(1);

/// Returns the number after `"name":` in the JSON text, or 0. Avoids parsing the document, because
/// the lists are too long to parse them on every node.
std::uint64_t numberAfter(const std::string& text, std::string_view name) {
  const std::size_t place = text.find("\"" + std::string(name) + "\":");
  if (place == std::string::npos) return 0;
  return std::strtoull(text.c_str() + place + name.size() + 3, nullptr, 10);
}

}  // namespace

PlatformPoller::PlatformPoller(const NodeId& node, simulation::VirtualTime& time,
                               simulation::PlatformModel& platform, PlatformTraffic& traffic,
                               std::uint64_t seed, Events events)
    : environment_(time, seed, true),
      client_(platform.makeClient(node, environment_), traffic),
      events_(std::move(events)) {}

void PlatformPoller::start() {
  const auto interval = static_cast<std::uint64_t>(kPollInterval.count());
  environment_.schedule(Duration(static_cast<Duration::rep>(environment_.random(interval))),
                        [this] { poll(); });
}

void PlatformPoller::poll() {
  environment_.schedule(kPollInterval, [this] { poll(); });
  client_.readNewest(newest_tag_, [this](const auto& answer) { onNewest(answer); });
  client_.readMachines(machines_tag_, [this](const auto& answer) { onMachines(answer); });
}

void PlatformPoller::onNewest(const Result<source::PlatformAnswer>& answer) {
  if (answer.has_error() || answer->not_modified) return;
  newest_tag_ = answer->entity_tag;
  const Version newest(numberAfter(answer->body, "newest"));
  if (newest <= version_) return;
  client_.readConfiguration(newest, [this, newest](const Result<source::PlatformAnswer>& whole) {
    if (whole.has_error() || newest <= version_) return;
    version_ = newest;
    events_.on_configuration(newest, whole->body);
  });
}

void PlatformPoller::onMachines(const Result<source::PlatformAnswer>& answer) {
  if (answer.has_error() || answer->not_modified) return;
  machines_tag_ = answer->entity_tag;
  events_.on_machines(Generation(numberAfter(answer->body, "generation")), answer->body);
}

}  // namespace coursepond::bench
