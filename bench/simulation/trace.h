#pragma once

#include <cstdint>
#include <deque>
#include <iosfwd>
#include <string>
#include <string_view>

#include "core/time.h"

namespace coursepond::simulation {

/// Events of a run as text. Keeps a hash of all events, which must be equal for two runs with the
/// same seed, and the last events, to explain a violation.
class Trace {
 public:
  void note(Duration when, std::string_view subject, std::string_view event);
  /// Prints every event to `out` as it occurs.
  void printTo(std::ostream* out) { out_ = out; }
  std::uint64_t hash() const { return hash_; }
  const std::deque<std::string>& lastEvents() const { return last_events_; }

 private:
  static constexpr std::size_t kEventsKept = 40;
  std::uint64_t hash_ = 14695981039346656037ULL;
  std::deque<std::string> last_events_;
  std::ostream* out_ = nullptr;
};

}  // namespace coursepond::simulation
