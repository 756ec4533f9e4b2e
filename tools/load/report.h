#pragma once

/// Formats the result of a load run as text or as JSON.

#include <string>

#include "run_result.h"
#include "verification.h"

namespace coursepond::load {

/// Returns a human-readable summary of a few lines.
std::string formatReport(const RunResult& result, const Verification& verification,
                         bool journals_checked);

/// Returns the same figures as one JSON object, with latencies in microseconds.
std::string formatJsonReport(const RunResult& result, const Verification& verification,
                             bool journals_checked);

}  // namespace coursepond::load
