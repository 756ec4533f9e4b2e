#pragma once

/// What several nodes' logs say of one request: its decisions on both hops, and what those nodes
/// learned around that time.

#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "runtime/log_line.h"

namespace coursepond::cli {

struct StoryLine {
  runtime::LogLine line;
  bool is_decision = false;  ///< On the request itself; otherwise something its nodes learned.
};

/// How a request ended, and what to look at.
struct Conclusion {
  std::string outcome;  ///< "refused: it has not run".
  std::string reason;   ///< The word in the log; empty when the last line has none.
  std::string meaning;
  std::string look_at;
};

class RequestStory {
 public:
  /// Lines that are not of `request` are kept when they were written up to `around` before its
  /// first line or until its last one, on a node that the request passed.
  RequestStory(std::string request, Duration around)
      : request_(std::move(request)), around_(around) {}

  /// Takes in one log, of one node or of several. Lines of other formats are passed over.
  void read(std::istream& log);

  /// In the order of their times, as the nodes' clocks had them.
  std::vector<StoryLine> lines() const;
  /// From the last decision on the egress, or the last one of all.
  Conclusion conclusion() const;
  bool isFound() const { return !decisions_.empty(); }

 private:
  /// Call only when isFound().
  const runtime::LogLine& lastDecision() const;

  std::string request_;
  Duration around_;
  std::vector<runtime::LogLine> decisions_;
  std::vector<runtime::LogLine> beliefs_;
};

/// What a reason's word means and what to look at; empty texts for a word that is not known.
struct ReasonText {
  std::string_view word;
  std::string_view meaning;
  std::string_view look_at;
};
ReasonText explainReason(std::string_view word);

/// The table of docs/operators/REASONS.md as Markdown.
std::string reasonsReference();

}  // namespace coursepond::cli
