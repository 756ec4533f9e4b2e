#pragma once

/// A child process of a test. It is killed at the latest when its handle is destroyed.

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace coursepond::process_tests {

class ProcessHandle {
 public:
  /// Starts `program` from the folder named by COURSEPOND_BIN and appends its output to `log_path`.
  /// Throws std::system_error when it cannot be started.
  ProcessHandle(const std::string& program, const std::vector<std::string>& arguments,
                const std::string& log_path);
  /// Kills the process if it is still running.
  ~ProcessHandle();
  ProcessHandle(ProcessHandle&& other) noexcept;
  ProcessHandle& operator=(ProcessHandle&&) = delete;
  ProcessHandle(const ProcessHandle&) = delete;
  ProcessHandle& operator=(const ProcessHandle&) = delete;

  /// Sends a signal. Does nothing once the process has ended.
  void signal(int number);
  /// Sends a signal with a value for the process's signal handler (sigqueue).
  void signal(int number, int value);
  /// Sends SIGKILL and waits for the process to end.
  void killNow();
  bool running();
  /// Waits at most `limit`. Returns the exit status, or the negated number of the signal that ended
  /// the process, or nothing when it is still running.
  std::optional<int> waitForExit(Duration limit);

 private:
  bool reap(bool block);

  pid_t pid_ = -1;
  std::optional<int> status_;
};

/// Polls `condition` until it is true. Returns false when `limit` has passed.
template <typename Condition>
bool waitUntil(Duration limit, Condition condition);

/// Temporary folder for a test's files, removed on destruction unless COURSEPOND_KEEP_LOGS is set.
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

/// Sleeps for `time`. Use it to pace the steps of a test, never to decide a check.
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
