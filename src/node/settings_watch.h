#pragma once

/// Notices that the settings file has changed, by a signal or by looking now and then, and hands
/// the new settings on when they are right. What is wrong is told once, and nothing changes.

#include <functional>
#include <string>

#include "core/environment.h"
#include "node/node.h"
#include "runtime/settings.h"

namespace coursepond::node {

class SettingsWatch {
 public:
  /// What to do with new settings, and with mistakes in them.
  using ChangeHandler = std::function<void(const runtime::Settings&)>;
  using MistakeHandler = std::function<void(const std::vector<runtime::SettingMistake>&)>;

  /// `environment` must outlive the watch. Looks every `interval`.
  SettingsWatch(SettingsFile file, Duration interval, Environment& environment,
                ChangeHandler on_change, MistakeHandler on_mistakes);
  ~SettingsWatch();
  SettingsWatch(const SettingsWatch&) = delete;
  SettingsWatch& operator=(const SettingsWatch&) = delete;

  void start();
  /// Reads the file now. One that cannot be read counts as unchanged.
  void check();

 private:
  void checkLater();

  SettingsFile file_;  ///< Its text is the last that was taken in or refused.
  Duration interval_;
  Environment& environment_;
  ChangeHandler on_change_;
  MistakeHandler on_mistakes_;
  TimerId timer_ = 0;
};

}  // namespace coursepond::node
