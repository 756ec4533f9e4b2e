#pragma once

/// How long a node waits after it heard that the source was restored from a copy: what was held and
/// the copy lacks, or the copy tells and was known better, waits for its writer to write again, and
/// for no longer than that.

#include <functional>
#include <vector>

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
  /// A read of `topic` failed: waits that have not ended begin anew, since writers wait as well.
  void onSourceFailed(Topic topic);
  /// Operators wrote a version that is newer than all that was held.
  void onNewerVersion() { may_lack_version_ = false; }
  /// Whether the source may still lack a version that it had acknowledged.
  bool mayLackVersion() const { return may_lack_version_; }

 private:
  /// One wait, and what its end does.
  struct Wait {
    Duration length;
    std::function<void()> on_end;
    TimerId timer = 0;  ///< Zero: not begun, or over.
  };

  std::vector<Wait*> waitsOf(Topic topic);
  void restart(Wait& wait);

  HeldState& held_;
  Environment& environment_;
  Handlers handlers_;
  Wait servers_write_;
  Wait entries_lapse_;
  Wait operators_write_;
  bool may_lack_version_ = false;
};

}  // namespace coursepond::source
