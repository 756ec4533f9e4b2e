#pragma once

/// How long a node waits after it heard that the source was restored from a copy: what was held and
/// the copy lacks, or the copy tells and was known better, waits for its writer to write again, and
/// for no longer than that.

#include <functional>

#include "core/environment.h"
#include "source/held_state.h"

namespace coursepond::source {

class RestoreSettling {
 public:
  /// Called at the end of each wait, with what it changed.
  struct Handlers {
    std::function<void(const ServerChanges& changes)> on_servers;
    std::function<void(bool has_changed)> on_zones;
  };

  /// `held` and `environment` must outlive it.
  RestoreSettling(HeldState& held, Environment& environment, Handlers handlers);
  ~RestoreSettling();
  RestoreSettling(const RestoreSettling&) = delete;
  RestoreSettling& operator=(const RestoreSettling&) = delete;

  /// What is held of `topic` is of another era since now.
  void onRestored(Topic topic);
  /// Operators wrote a version that is newer than all that was held.
  void onNewerVersion() { may_lack_version_ = false; }
  /// Whether the source may still lack a version that it had acknowledged.
  bool mayLackVersion() const { return may_lack_version_; }

 private:
  void restart(TimerId& timer, Duration wait, std::function<void()> action);

  HeldState& held_;
  Environment& environment_;
  Handlers handlers_;
  TimerId written_timer_ = 0;
  TimerId lapse_timer_ = 0;
  TimerId operators_timer_ = 0;
  bool may_lack_version_ = false;
};

}  // namespace coursepond::source
