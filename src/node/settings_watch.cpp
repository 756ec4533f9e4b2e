#include "node/settings_watch.h"

namespace coursepond::node {

SettingsWatch::SettingsWatch(SettingsFile file, Duration interval, Environment& environment,
                             ChangeHandler on_change, MistakeHandler on_mistakes)
    : file_(std::move(file)),
      interval_(interval),
      environment_(environment),
      on_change_(std::move(on_change)),
      on_mistakes_(std::move(on_mistakes)) {}

SettingsWatch::~SettingsWatch() { environment_.cancel(timer_); }

void SettingsWatch::start() {
  if (file_.read) scheduleCheck();
}

void SettingsWatch::scheduleCheck() {
  timer_ = environment_.schedule(interval_, [this] {
    check();
    scheduleCheck();
  });
}

void SettingsWatch::check() {
  if (!file_.read) return;
  const Result<std::string> text = file_.read();
  if (!text || *text == file_.text) return;
  file_.text = *text;
  const runtime::SettingsOutcome outcome = file_.load(file_.text);
  if (!outcome.mistakes.empty()) return on_mistakes_(outcome.mistakes);
  on_change_(outcome.settings);
}

}  // namespace coursepond::node
