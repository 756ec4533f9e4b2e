#pragma once

/// One child process of a test. It never outlives its handle.

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace coursepond::process_tests {

class ProcessHandle {
 public:
  /// Starts `program` of the folder that COURSEPOND_BIN names; its output goes to `log_path`.
  /// Throws std::system_error when it can't be started.
  ProcessHandle(const std::string& program, const std::vector<std::string>& arguments,
                const std::string& log_path);
  /// Kills the process if it still runs.
  ~ProcessHandle();
  ProcessHandle(ProcessHandle&& other) noexcept;
  ProcessHandle& operator=(ProcessHandle&&) = delete;
  ProcessHandle(const ProcessHandle&) = delete;
  ProcessHandle& operator=(const ProcessHandle&) = delete;

  /// Does nothing once the process has ended.
  void signal(int number);
  /// The same with a number that the process's handler gets.
  void signal(int number, int value);
  /// SIGKILL, and waits for the end.
  void killNow();
  bool running();
  /// The exit status, or minus the signal that ended it; empty when it still runs after `limit`.
  std::optional<int> waitForExit(Duration limit);

 private:
  bool collect(bool block);

  pid_t id_ = -1;
  std::optional<int> status_;
};

/// Polls `condition` until it holds; false after `limit`.
template <typename Condition>
bool waitUntil(Duration limit, Condition condition);

/// The folder of a test's files; removed at its end unless COURSEPOND_KEEP_LOGS is set.
class TestFolder {
 public:
  TestFolder();
  ~TestFolder();
  TestFolder(const TestFolder&) = delete;
  TestFolder& operator=(const TestFolder&) = delete;

  std::string file(const std::string& name) const { return path_ + "/" + name; }
  void write(const std::string& name, const std::string& text) const;
  std::string read(const std::string& name) const;

 private:
  std::string path_;
};

/// Sleeps for `time`; a test's own pace, never a verdict.
void pauseFor(Duration time);

template <typename Condition>
bool waitUntil(Duration limit, Condition condition) {
  constexpr Duration kStep = std::chrono::milliseconds(10);
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    pauseFor(kStep);
  }
  return true;
}

}  // namespace coursepond::process_tests
