#pragma once

#include <functional>
#include <optional>
#include <string>

#include "trace.h"
#include "virtual_time.h"

namespace coursepond::simulation {

/// A promise that was violated in a run.
struct Violation {
  std::string promise;  ///< Stable name of the promise, as in docs/PROOFS.md.
  std::string detail;
  Duration when{};
};

/// Records the first violation and ends the run.
class Violations {
 public:
  Violations(VirtualTime& time, Trace& trace) : time_(time), trace_(trace) {}

  void report(const std::string& promise, const std::string& detail) {
    if (first_) return;
    first_ = Violation{promise, detail, time_.elapsed()};
    trace_.note(time_.elapsed(), "VIOLATION", promise + ": " + detail);
    time_.stop();
  }
  const std::optional<Violation>& first() const { return first_; }

 private:
  VirtualTime& time_;
  Trace& trace_;
  std::optional<Violation> first_;
};

/// Names of the promises.
namespace promises {
inline constexpr char kVersionForward[] = "version-goes-forward";
inline constexpr char kClosure[] = "routes-have-services-and-secrets";
inline constexpr char kWhole[] = "all-or-nothing";
inline constexpr char kOwnWholeAnswer[] = "own-whole-answer";
inline constexpr char kNotRun[] = "not-run-did-not-run";
inline constexpr char kAtMostOnce[] = "unrepeatable-at-most-once";
inline constexpr char kConcluded[] = "given-up-is-answered-at-once";
inline constexpr char kLeaving[] = "leaving-server-gets-no-new-work";
inline constexpr char kServerLimit[] = "server-gets-no-more-than-it-accepts";
inline constexpr char kPlannedStop[] = "planned-stop-cuts-nothing";
inline constexpr char kConverged[] = "accepted-is-in-force-within-seconds";
inline constexpr char kAcceptedNotContradicted[] = "accepted-is-not-contradicted";
inline constexpr char kRefusedNotContradicted[] = "refused-is-not-contradicted";
inline constexpr char kAdoptedAfterLoss[] = "adopted-only-after-loss-of-every-memory";
inline constexpr char kFewReaders[] = "source-readers-stay-few";
inline constexpr char kPauseRecheck[] = "woken-reader-asks-before-it-reads";
}  // namespace promises

}  // namespace coursepond::simulation
