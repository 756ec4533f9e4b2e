#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <thread>

namespace coursepond::bench {

/// An io_context that runs on its own thread and reports the CPU time of that thread.
class EventThread {
 public:
  /// `name` (up to 15 characters) is the thread name that profilers show.
  explicit EventThread(const char* name);
  ~EventThread();

  boost::asio::io_context& context() { return context_; }
  /// Runs `task` on the thread and waits for it.
  void run(const std::function<void()>& task);
  /// CPU time used by the thread, in seconds.
  double cpuSeconds();

 private:
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace coursepond::bench
