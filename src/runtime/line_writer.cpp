#include "runtime/line_writer.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace coursepond::runtime {
namespace {

/// A pipe that poll() reports as writable accepts this many bytes without blocking the writer.
constexpr std::size_t kMaxLineBytes = PIPE_BUF;

bool hasRoom(int descriptor) {
  pollfd watched{descriptor, POLLOUT, 0};
  return ::poll(&watched, 1, 0) == 1 && (watched.revents & POLLOUT) != 0;
}

}  // namespace

void LineWriter::write(std::string line) {
  if (line.size() > kMaxLineBytes) {
    line.resize(kMaxLineBytes);
    line.back() = '\n';
  }
  flush();
  enqueue(std::move(line));
  flush();
}

void LineWriter::enqueue(std::string line) {
  if (lines_.size() >= max_lines_) {
    ++dropped_;
    ++dropped_unreported_;
    return;
  }
  enqueueDropNotice();
  lines_.push_back(std::move(line));
}

void LineWriter::enqueueDropNotice() {
  if (dropped_unreported_ == 0) return;
  lines_.push_back("event=log_lines_dropped lines=" + std::to_string(dropped_unreported_) + "\n");
  dropped_unreported_ = 0;
}

void LineWriter::flush() {
  while (!lines_.empty() && hasRoom(descriptor_)) {
    const std::string& line = lines_.front();
    const ssize_t written = ::write(descriptor_, line.data(), line.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    // Either the line was written or nobody reads any more. A partially written line is not
    // repeated.
    lines_.pop_front();
  }
}

}  // namespace coursepond::runtime
