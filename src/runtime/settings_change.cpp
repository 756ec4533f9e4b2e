#include "runtime/settings_change.h"

#include <algorithm>
#include <array>

#include "runtime/settings_keys.h"

namespace coursepond::runtime {
namespace {

constexpr std::array<std::string_view, 7> kChangeablePrefixes = {
    "promises.", "log.", "watch.", "relay.", "egress.", "ingress.", "node.stop_"};
/// The watch loop keeps the backoff with which it was started.
constexpr std::string_view kWatchBackoff = "watch.backoff_";

}  // namespace

bool isChangeable(std::string_view full_name) {
  if (full_name.starts_with(kWatchBackoff)) return false;
  return std::any_of(
      kChangeablePrefixes.begin(), kChangeablePrefixes.end(),
      [full_name](std::string_view prefix) { return full_name.starts_with(prefix); });
}

std::vector<SettingChange> changesBetween(const Settings& before, const Settings& after) {
  std::vector<SettingChange> changes;
  for (const SettingKey& key : settingKeys()) {
    std::string old_value = key.format(before);
    std::string new_value = key.format(after);
    if (old_value == new_value) continue;
    changes.push_back({key.fullName(), std::move(old_value), std::move(new_value),
                       !isChangeable(key.fullName())});
  }
  return changes;
}

void applyChangeable(Settings& held, const Settings& newer) {
  const Duration backoff_base = held.watch.backoff_base;
  const Duration backoff_limit = held.watch.backoff_limit;
  held.promises = newer.promises;
  held.log = newer.log;
  held.relay = newer.relay;
  held.watch = newer.watch;
  held.watch.backoff_base = backoff_base;
  held.watch.backoff_limit = backoff_limit;
  held.quota = newer.quota;
  held.suspect_gossip = newer.suspect_gossip;
  held.egress = newer.egress;
  held.retries = newer.retries;
  held.ingress = newer.ingress;
  held.node.stop_delay = newer.node.stop_delay;
  held.node.stop_linger = newer.node.stop_linger;
  held.node.stop_grace = newer.node.stop_grace;
  held.node.stop_timeout = newer.node.stop_timeout;
}

}  // namespace coursepond::runtime
