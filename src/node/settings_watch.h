#pragma once

/// Detects changes of the settings file, on a signal or by polling, and passes valid new settings
/// to a handler. Errors in the file are reported once, and the current settings stay in force.

#include <functional>
#include <string>

#include "core/environment.h"
#include "node/node.h"
#include "runtime/settings.h"

namespace coursepond::node {

class SettingsWatch {
 public:
  /// Called with valid new settings, or with the errors found in the file.
  using ChangeHandler = std::function<void(const runtime::Settings&)>;
  using MistakeHandler = std::function<void(const std::vector<runtime::SettingMistake>&)>;

  /// Checks the file every `interval`. `environment` must outlive the watch.
  SettingsWatch(SettingsFile file, Duration interval, Environment& environment,
                ChangeHandler on_change, MistakeHandler on_mistakes);
  ~SettingsWatch();
  SettingsWatch(const SettingsWatch&) = delete;
  SettingsWatch& operator=(const SettingsWatch&) = delete;

  void start();
  /// Checks the file now. A file that cannot be read counts as unchanged.
  void check();

 private:
  void scheduleCheck();

  SettingsFile file_;  ///< Its `text` is the content that was last accepted or rejected.
  Duration interval_;
  Environment& environment_;
  ChangeHandler on_change_;
  MistakeHandler on_mistakes_;
  TimerId timer_ = 0;
};

}  // namespace coursepond::node
