#include "runtime/line_writer.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace coursepond::runtime {
namespace {

/// A pipe that poll() calls writable takes this many bytes without making the writer wait.
constexpr std::size_t kLongestLine = PIPE_BUF;

bool hasRoom(int descriptor) {
  pollfd watched{descriptor, POLLOUT, 0};
  return ::poll(&watched, 1, 0) == 1 && (watched.revents & POLLOUT) != 0;
}

}  // namespace

void LineWriter::write(std::string line) {
  if (line.size() > kLongestLine) {
    line.resize(kLongestLine);
    line.back() = '\n';
  }
  flush();
  keep(std::move(line));
  flush();
}

void LineWriter::keep(std::string line) {
  if (lines_.size() >= lines_kept_) {
    ++dropped_;
    ++dropped_untold_;
    return;
  }
  tellDropped();
  lines_.push_back(std::move(line));
}

void LineWriter::tellDropped() {
  if (dropped_untold_ == 0) return;
  lines_.push_back("event=log_lines_dropped lines=" + std::to_string(dropped_untold_) + "\n");
  dropped_untold_ = 0;
}

void LineWriter::flush() {
  while (!lines_.empty() && hasRoom(descriptor_)) {
    const std::string& line = lines_.front();
    const ssize_t written = ::write(descriptor_, line.data(), line.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    // Nobody reads any more, or the line went out; a part of one is not worth repeating.
    lines_.pop_front();
  }
}

}  // namespace coursepond::runtime
