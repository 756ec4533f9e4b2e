#pragma once

/// Safeguards that a run can disable, to show that each checker detects the failure it is meant
/// for. None of them is a switch in production code: the simulator emulates the missing safeguard.

#include <array>
#include <optional>
#include <string_view>

namespace coursepond::simulation {

enum class Guard {
  kNone,
  kMergeByMaximum,      ///< merge-by-arrival: a proxy applies records in arrival order.
  kClosure,             ///< apply-without-closure: a version is in force without its secrets.
  kWholeSnapshot,       ///< apply-in-part: a version is put in force one half at a time.
  kNoRetryAfterSend,    ///< retry-after-send: a sent request is treated as not sent.
  kTruthfulNotRun,      ///< not-run-after-send: a sent request is reported as "not run".
  kCloseAbandoned,      ///< reuse-abandoned-connection: a late answer goes to the next request.
  kWholeAnswer,         ///< short-answer: a truncated answer is reported as complete.
  kHonourDraining,      ///< ignore-draining: nodes do not learn that a server is leaving.
  kHonourLimit,         ///< ignore-limit: nodes do not learn that a server reports a limit.
  kFinishBeforeStop,    ///< cut-on-stop: a planned stop ends the process immediately.
  kPauseCheck,          ///< no-pause-check: a process cannot detect that it was paused.
  kFewReaders,          ///< all-read: every node polls the platform.
  kRepair,              ///< no-anti-entropy: lost pushes are not repaired.
  kMajority,            ///< accept-without-majority: "no quorum" is reported as "accepted".
  kTruthfulRefusal,     ///< refuse-after-commit: "accepted" is reported as "refused".
  kExclusiveLease,      ///< always-grant: voters grant every lease request.
  kConcludeByDeadline,  ///< no-deadline: a request past its deadline is never answered.
  kAdoptionWait,        ///< adopt-at-once: a cold reader does not wait for a record holder.
};

struct GuardName {
  Guard guard;
  std::string_view without;  ///< Name of the run with this safeguard disabled, for --without.
};

inline constexpr std::array<GuardName, 18> kGuardNames = {{
    {Guard::kMergeByMaximum, "merge-by-arrival"},
    {Guard::kClosure, "apply-without-closure"},
    {Guard::kWholeSnapshot, "apply-in-part"},
    {Guard::kNoRetryAfterSend, "retry-after-send"},
    {Guard::kTruthfulNotRun, "not-run-after-send"},
    {Guard::kCloseAbandoned, "reuse-abandoned-connection"},
    {Guard::kWholeAnswer, "short-answer"},
    {Guard::kHonourDraining, "ignore-draining"},
    {Guard::kHonourLimit, "ignore-limit"},
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

/// Returns the safeguard that a run `without` disables, or nothing if the name is unknown.
constexpr std::optional<Guard> findGuard(std::string_view without) {
  for (const GuardName& name : kGuardNames) {
    if (name.without == without) return name.guard;
  }
  return std::nullopt;
}

}  // namespace coursepond::simulation
