#pragma once

/// Reconstructs the history of one request from the logs of several nodes: the decisions on both
/// hops, and the state changes that those nodes logged around that time.

#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "runtime/log_line.h"

namespace coursepond::cli {

struct TimelineEntry {
  runtime::LogLine line;
  bool is_decision = false;  ///< About the request itself; otherwise a state change of a node.
};

/// The outcome of a request, and what an operator should look at.
struct Conclusion {
  std::string outcome;  ///< Such as "refused: it has not run and never will".
  std::string reason;   ///< The reason field of the last decision; may be empty.
  std::string meaning;
  std::string look_at;
};

class RequestTimeline {
 public:
  /// Other lines of the nodes that handled `request` are included if they were written at most
  /// `around` before its first line and not after its last line.
  RequestTimeline(std::string request, Duration around)
      : request_(std::move(request)), around_(around) {}

  /// Reads a log of one or several nodes. Ignores lines in other formats.
  void read(std::istream& log);

  /// Returns the lines sorted by time, according to the clocks of the nodes.
  std::vector<TimelineEntry> lines() const;
  /// Derived from the last decision on the egress, or from the last decision if there is none.
  Conclusion conclusion() const;
  bool isFound() const { return !decisions_.empty(); }

 private:
  /// Requires isFound().
  const runtime::LogLine& lastDecision() const;

  std::string request_;
  Duration around_;
  std::vector<runtime::LogLine> decisions_;      ///< Lines about the request.
  std::vector<runtime::LogLine> state_changes_;  ///< Lines without a request.
};

/// Meaning of a reason and what to look at; the texts are empty if the reason is unknown.
struct ReasonText {
  std::string_view name;
  std::string_view meaning;
  std::string_view look_at;
};
ReasonText explainReason(std::string_view name);

/// Returns the table of docs/operators/REASONS.md as Markdown.
std::string reasonsReference();

}  // namespace coursepond::cli
