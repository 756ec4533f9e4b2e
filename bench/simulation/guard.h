#pragma once

/// Safeguards that a run can be made without, so that each checker is seen to catch what it is for.
/// None of them is a switch in production code: the simulator's wiring stands in for the part.

#include <array>
#include <optional>
#include <string_view>

namespace coursepond::simulation {

enum class Guard {
  kNone,
  kMergeByMaximum,      ///< merge-by-arrival: a proxy takes records in the order they arrive.
  kClosure,             ///< apply-without-closure: a version is put in force without its secrets.
  kWholeSnapshot,       ///< apply-in-part: a version is put in force one half at a time.
  kNoRetryAfterSend,    ///< retry-after-send: a request that was sent counts as not sent.
  kTruthfulNotRun,      ///< not-run-after-send: a request given up late is called "not run".
  kCloseAbandoned,      ///< reuse-abandoned-connection: its late answer meets another request.
  kWholeAnswer,         ///< short-answer: a cut answer is passed off as whole.
  kHonourDraining,      ///< ignore-draining: no node learns that a server is leaving.
  kFinishBeforeStop,    ///< cut-on-stop: a planned stop ends the process at once.
  kPauseCheck,          ///< no-pause-check: a process cannot notice that it was paused.
  kFewReaders,          ///< all-read: every node polls the platform.
  kRepair,              ///< no-anti-entropy: nothing repairs what a push lost.
  kMajority,            ///< accept-without-majority: "no quorum" is told as "accepted".
  kTruthfulRefusal,     ///< refuse-after-commit: "accepted" is told as "refused".
  kExclusiveLease,      ///< always-grant: voters refuse nobody.
  kConcludeByDeadline,  ///< no-deadline: a request that is given up is never answered.
  kAdoptionWait,        ///< adopt-at-once: a cold reader does not wait for somebody who remembers.
};

struct GuardName {
  Guard guard;
  std::string_view without;  ///< The name of the run without it, as on the command line.
};

inline constexpr std::array<GuardName, 17> kGuardNames = {{
    {Guard::kMergeByMaximum, "merge-by-arrival"},
    {Guard::kClosure, "apply-without-closure"},
    {Guard::kWholeSnapshot, "apply-in-part"},
    {Guard::kNoRetryAfterSend, "retry-after-send"},
    {Guard::kTruthfulNotRun, "not-run-after-send"},
    {Guard::kCloseAbandoned, "reuse-abandoned-connection"},
    {Guard::kWholeAnswer, "short-answer"},
    {Guard::kHonourDraining, "ignore-draining"},
    {Guard::kFinishBeforeStop, "cut-on-stop"},
    {Guard::kPauseCheck, "no-pause-check"},
    {Guard::kFewReaders, "all-read"},
    {Guard::kRepair, "no-anti-entropy"},
    {Guard::kMajority, "accept-without-majority"},
    {Guard::kTruthfulRefusal, "refuse-after-commit"},
    {Guard::kExclusiveLease, "always-grant"},
    {Guard::kConcludeByDeadline, "no-deadline"},
    {Guard::kAdoptionWait, "adopt-at-once"},
}};

/// The guard that a run `without` leaves out, or nothing when there is no such name.
constexpr std::optional<Guard> findGuard(std::string_view without) {
  for (const GuardName& name : kGuardNames) {
    if (name.without == without) return name.guard;
  }
  return std::nullopt;
}

}  // namespace coursepond::simulation
