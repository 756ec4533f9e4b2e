#include "source/restore_settling.h"

#include <utility>

namespace coursepond::source {
namespace {

/// Time within which a running server that reaches the source writes its entry again.
constexpr Duration kServerRewriteWait = std::chrono::seconds(2);
/// A server's entry expires after this time (three heartbeats) without a write.
constexpr Duration kEntryLifetime = std::chrono::milliseconds(4500);
/// Time allowed for operators to write lost changes again, with a program or by hand. A zone that
/// is not drained again within this time is used again.
constexpr Duration kOperatorRewriteWait = std::chrono::seconds(10);

}  // namespace

RestoreSettling::RestoreSettling(HeldState& held, Environment& environment, Handlers handlers)
    : held_(held), environment_(environment), handlers_(std::move(handlers)) {
  server_rewrite_wait_ = {kServerRewriteWait,
                          [this] { handlers_.on_servers(held_.dropUnconfirmedServers()); }};
  entry_lapse_wait_ = {kEntryLifetime,
                       [this] { handlers_.on_servers(held_.acceptDoubtedServers()); }};
  operator_rewrite_wait_ = {kOperatorRewriteWait, [this] {
                              may_lack_version_ = false;
                              handlers_.on_zones(held_.settleZones());
                            }};
}

RestoreSettling::~RestoreSettling() {
  for (const Wait* wait : {&server_rewrite_wait_, &entry_lapse_wait_, &operator_rewrite_wait_}) {
    environment_.cancel(wait->timer);
  }
}

std::vector<RestoreSettling::Wait*> RestoreSettling::waitsOf(Topic topic) {
  if (topic == Topic::kConfiguration) return {&operator_rewrite_wait_};
  return {&server_rewrite_wait_, &entry_lapse_wait_};
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
