#pragma once

/// Limits how long a node keeps its own state after the source was restored from an older copy.
/// Where the held state and the copy differ, the node waits until the writer (a server or an
/// operator) had time to write again, and then follows the source.

#include <functional>
#include <vector>

#include "core/environment.h"
#include "source/held_state.h"

namespace coursepond::source {

class RestoreSettling {
 public:
  /// Called at the end of each wait with the resulting changes.
  struct Handlers {
    std::function<void(const ServerChanges& changes)> on_servers;
    std::function<void(bool has_changed)> on_zones;
  };

  /// `held` and `environment` must outlive this object.
  RestoreSettling(HeldState& held, Environment& environment, Handlers handlers);
  ~RestoreSettling();
  RestoreSettling(const RestoreSettling&) = delete;
  RestoreSettling& operator=(const RestoreSettling&) = delete;

  /// Called when the held state of `topic` has changed to a new era.
  void onRestored(Topic topic);
  /// Called when a read of `topic` failed. Restarts the waits that have not ended, since the
  /// writers cannot reach the source either.
  void onSourceFailed(Topic topic);
  /// Called when operators wrote a version newer than any held one.
  void onNewerVersion() { may_lack_version_ = false; }
  /// Returns whether the source may still lack a version that it acknowledged before the restore.
  bool mayLackVersion() const { return may_lack_version_; }

 private:
  /// A wait and the callback at its end.
  struct Wait {
    Duration length;
    std::function<void()> on_end;
    TimerId timer = 0;  ///< Zero if the wait has not begun or is over.
  };

  std::vector<Wait*> waitsOf(Topic topic);
  void restart(Wait& wait);

  HeldState& held_;
  Environment& environment_;
  Handlers handlers_;
  Wait server_rewrite_wait_;
  Wait entry_lapse_wait_;
  Wait operator_rewrite_wait_;
  bool may_lack_version_ = false;
};

}  // namespace coursepond::source
