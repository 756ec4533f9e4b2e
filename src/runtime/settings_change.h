#pragma once

/// What differs between two sets of settings, and which of it a running node may take over.

#include <string>
#include <vector>

#include "runtime/settings.h"

namespace coursepond::runtime {

struct SettingChange {
  std::string key;     ///< "log.level".
  std::string before;  ///< As TOML; of a secret only whether it is set.
  std::string after;
  bool needs_restart = false;
};

/// In the order of the documentation.
std::vector<SettingChange> changesBetween(const Settings& before, const Settings& after);

/// Whether a running two-hop node takes over changes of this key: [promises], [log], [watch] but
/// for its backoff, [egress], [ingress] and node.stop_*.
bool isChangeable(std::string_view full_name);

/// Copies what is changeable.
void takeOver(Settings& held, const Settings& newer);

}  // namespace coursepond::runtime
