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
    : held_(held), environment_(environment), handlers_(std::move(handlers)) {}

RestoreSettling::~RestoreSettling() {
  environment_.cancel(written_timer_);
  environment_.cancel(lapse_timer_);
  environment_.cancel(operators_timer_);
}

void RestoreSettling::onRestored(Topic topic) {
  if (topic == Topic::kConfiguration) {
    may_lack_version_ = true;
    return restart(operators_timer_, kOperatorsWrite, [this] {
      may_lack_version_ = false;
      handlers_.on_zones(held_.settleZones());
    });
  }
  restart(written_timer_, kServersWrite,
          [this] { handlers_.on_servers(held_.dropUnconfirmedServers()); });
  restart(lapse_timer_, kEntryLife, [this] { handlers_.on_servers(held_.acceptDoubtedServers()); });
}

void RestoreSettling::restart(TimerId& timer, Duration wait, std::function<void()> action) {
  environment_.cancel(timer);
  timer = environment_.schedule(wait, std::move(action));
}

}  // namespace coursepond::source
