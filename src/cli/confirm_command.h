#pragma once

#include <string>

#include "cli/api_documents.h"
#include "cli/command.h"

namespace coursepond::cli {

/// `coursepond confirm`
Command confirmCommand();

/// Rollout progress of an accepted version.
struct Progress {
  std::uint64_t current = 0;
  std::uint64_t total = 0;
  bool done = false;
  std::string text;  ///< Such as "412/500 proxies, zone b 3 behind".
};

Progress progressOf(const StatusDocument& status, Version version);

}  // namespace coursepond::cli
