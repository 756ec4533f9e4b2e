#include "source/restore_settling.h"

#include <utility>

namespace coursepond::source {
namespace {

/// A server that runs and reaches the source writes its entry again within this.
constexpr Duration kServersWrite = std::chrono::seconds(2);
/// Three heartbeats of a server: after as much silence its entry lapses.
constexpr Duration kEntryLife = std::chrono::milliseconds(4500);
/// Operators write again what they wrote, by a program or by hand. A drained zone that they don't
/// name any more is used again after this.
constexpr Duration kOperatorsWrite = std::chrono::seconds(10);

}  // namespace

RestoreSettling::RestoreSettling(HeldState& held, Environment& environment, Handlers handlers)
    : held_(held), environment_(environment), handlers_(std::move(handlers)) {
  servers_write_ = {kServersWrite,
                    [this] { handlers_.on_servers(held_.dropUnconfirmedServers()); }};
  entries_lapse_ = {kEntryLife, [this] { handlers_.on_servers(held_.acceptDoubtedServers()); }};
  operators_write_ = {kOperatorsWrite, [this] {
                        may_lack_version_ = false;
                        handlers_.on_zones(held_.settleZones());
                      }};
}

RestoreSettling::~RestoreSettling() {
  for (const Wait* wait : {&servers_write_, &entries_lapse_, &operators_write_}) {
    environment_.cancel(wait->timer);
  }
}

std::vector<RestoreSettling::Wait*> RestoreSettling::waitsOf(Topic topic) {
  if (topic == Topic::kConfiguration) return {&operators_write_};
  return {&servers_write_, &entries_lapse_};
}

void RestoreSettling::onRestored(Topic topic) {
  if (topic == Topic::kConfiguration) may_lack_version_ = true;
  for (Wait* wait : waitsOf(topic)) restart(*wait);
}

void RestoreSettling::onSourceFailed(Topic topic) {
  for (Wait* wait : waitsOf(topic)) {
    if (wait->timer != 0) restart(*wait);
  }
}

void RestoreSettling::restart(Wait& wait) {
  environment_.cancel(wait.timer);
  wait.timer = environment_.schedule(wait.length, [&wait] {
    wait.timer = 0;
    wait.on_end();
  });
}

}  // namespace coursepond::source
