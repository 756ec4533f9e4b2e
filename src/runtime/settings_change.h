#pragma once

/// Determines the differences between two sets of settings, and which of them a running node can
/// apply.

#include <string>
#include <vector>

#include "runtime/settings.h"

namespace coursepond::runtime {

struct SettingChange {
  std::string key;     ///< "log.level".
  std::string before;  ///< As TOML; for a secret only whether it is set.
  std::string after;
  bool needs_restart = false;
};

/// Returns the changes in the order of the documentation.
std::vector<SettingChange> changesBetween(const Settings& before, const Settings& after);

/// Whether a running two-hop node applies changes of this key: [promises], [log], [relay], [watch]
/// except its backoff, [egress], [ingress] and node.stop_*.
bool isChangeable(std::string_view full_name);

/// Copies the changeable settings from `newer` to `held`.
void applyChangeable(Settings& held, const Settings& newer);

}  // namespace coursepond::runtime
