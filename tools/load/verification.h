#pragma once

/// Compares the outcomes that callers saw with the journals of the back ends.

#include <cstdint>
#include <string>
#include <vector>

#include "journal.h"
#include "run_result.h"

namespace coursepond::load {

/// Number of requests that violated each guarantee, and some of their ids.
struct Verification {
  std::uint64_t lost = 0;                 ///< Answered, but completed by no back end.
  std::uint64_t doubled = 0;              ///< Not repeatable, but ran more than once.
  std::uint64_t not_run_ran = 0;          ///< Reported as not run, but ran.
  std::uint64_t mixed_up = 0;             ///< Got the answer of another request or a corrupted one.
  std::uint64_t short_answers = 0;        ///< Got a truncated answer that looked complete.
  std::uint64_t version_regressions = 0;  ///< See RunResult::version_regressions.
  std::vector<std::string> examples;      ///< "doubled: ID", at most kMaxExamples.

  static constexpr std::size_t kMaxExamples = 20;

  std::uint64_t violations() const {
    return lost + doubled + not_run_ran + mixed_up + short_answers + version_regressions;
  }
};

/// Checks a run whose request ids begin with `prefix`. When `journal` is null, only the checks that
/// need no journal are made.
Verification verify(const RunResult& result, const std::string& prefix,
                    const standin::JournalEntries* journal);

}  // namespace coursepond::load
