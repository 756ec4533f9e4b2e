#include "runtime/line_writer.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

namespace coursepond::runtime {
namespace {

constexpr std::size_t kMaxQueuedLines = 10;
/// Far more than fits into a pipe.
constexpr int kManyLines = 5000;

/// A pipe that is read only on request.
class Pipe {
 public:
  Pipe() {
    REQUIRE(::pipe(ends_.data()) == 0);
    REQUIRE(::fcntl(ends_[0], F_SETFL, O_NONBLOCK) == 0);
  }
  ~Pipe() {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }

  int writeEnd() const { return ends_[1]; }

  /// Reads everything written so far.
  std::string read() {
    std::string text;
    std::array<char, 4096> part{};
    for (;;) {
      const ssize_t size = ::read(ends_[0], part.data(), part.size());
      if (size <= 0) return text;
      text.append(part.data(), static_cast<std::size_t>(size));
    }
  }

 private:
  std::array<int, 2> ends_{};
};

std::string lineOf(int number) { return "event=test number=" + std::to_string(number) + "\n"; }

}  // namespace

TEST_CASE("lines are written immediately while the reader reads") {
  Pipe pipe;
  LineWriter writer(pipe.writeEnd(), kMaxQueuedLines);
  writer.write("event=a\n");
  writer.write("event=b\n");
  CHECK(pipe.read() == "event=a\nevent=b\n");
  CHECK(writer.waiting() == 0);
}

TEST_CASE(
    "a reader that stops reading does not block the writer; dropped lines are counted and "
    "reported") {
  Pipe pipe;
  LineWriter writer(pipe.writeEnd(), kMaxQueuedLines);
  for (int number = 0; number < kManyLines; ++number) writer.write(lineOf(number));
  CHECK(writer.waiting() == kMaxQueuedLines);
  CHECK(writer.dropped() > 0);

  std::string text = pipe.read();
  CHECK(text.starts_with(lineOf(0)));
  writer.write("event=last\n");
  text = pipe.read();
  CHECK(writer.waiting() == 0);
  CHECK(text.ends_with("event=log_lines_dropped lines=" + std::to_string(writer.dropped()) +
                       "\nevent=last\n"));
}

TEST_CASE("a line that a full descriptor rejects is kept, not lost") {
  Pipe pipe;
  REQUIRE(::fcntl(pipe.writeEnd(), F_SETFL, O_NONBLOCK) == 0);
  LineWriter writer(pipe.writeEnd(), kMaxQueuedLines);
  // These lines leave a part of the pipe's last page free, so poll() may report it as writable.
  for (int number = 0; number < kManyLines; ++number) writer.write(std::string(700, 'x') + "\n");
  CHECK(writer.waiting() == kMaxQueuedLines);
  std::string text = pipe.read();
  while (writer.waiting() > 0) {
    writer.flush();
    text += pipe.read();
  }
  CHECK(text.size() == 701 * (kManyLines - writer.dropped()));
}

TEST_CASE("a line that is too long for one write is truncated and still ends with a line feed") {
  Pipe pipe;
  LineWriter writer(pipe.writeEnd(), kMaxQueuedLines);
  writer.write(std::string(100'000, 'x') + "\n");
  const std::string text = pipe.read();
  CHECK(text.size() < 100'000);
  CHECK(text.ends_with("x\n"));
}

}  // namespace coursepond::runtime
