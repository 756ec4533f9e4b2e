#pragma once

/// Messages of the acceptance protocol, its settings, and the CBOR encoding of the messages.

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "distribution/acceptance_record.h"

namespace coursepond::distribution {

/// Identifies one try of one coordinator to confirm a plan. A lease belongs to an attempt, not to a
/// plan: two coordinators that confirm the same plan hold different leases.
struct AttemptKey {
  NodeId coordinator;
  std::uint64_t number = 0;  ///< Starts at a random value, so that a restarted coordinator does not
                             ///< reuse numbers.
  friend bool operator==(const AttemptKey&, const AttemptKey&) = default;
};

/// Asks a voter for a lease. `base` is the coordinator's current record; a voter with an older
/// record adopts it.
struct Prepare {
  AttemptKey attempt;
  PlanId plan;
  AcceptanceRecord proposed;
  AcceptanceRecord base;
  Duration lease{};  ///< How long the lease is valid, counted from when the voter grants it.
  friend bool operator==(const Prepare&, const Prepare&) = default;
};

struct Granted {
  AttemptKey attempt;
  AcceptanceRecord record;  ///< The voter's current record: the base or the proposed one.
  friend bool operator==(const Granted&, const Granted&) = default;
};

/// Refuses a Prepare, or a Commit whose lease was lost. Kinds: kConflict (another attempt holds the
/// lease; `holder` is its plan), kBaseMismatch (`record` is newer than the base), kDigestMismatch
/// (the voter has another digest for the base version), kUnavailable (the voter does not hold the
/// content yet, or is itself still starting).
struct Refused {
  AttemptKey attempt;
  ErrorKind kind = ErrorKind::kConflict;
  PlanId holder;
  AcceptanceRecord record;  ///< The voter's current record.
  friend bool operator==(const Refused&, const Refused&) = default;
};

/// Asks a voter to store the record. Takes effect if the attempt still holds the voter's lease.
struct Commit {
  AttemptKey attempt;
  AcceptanceRecord record;
  friend bool operator==(const Commit&, const Commit&) = default;
};

/// Reports that the voter stored the record while the attempt held its lease.
struct Committed {
  AttemptKey attempt;
  friend bool operator==(const Committed&, const Committed&) = default;
};

/// Ends a lease before it expires because the attempt failed.
struct Release {
  AttemptKey attempt;
  friend bool operator==(const Release&, const Release&) = default;
};

using AcceptanceMessage = std::variant<Prepare, Granted, Refused, Commit, Committed, Release>;

/// Settings of AcceptanceCoordinator.
struct AcceptanceSettings {
  /// Validity of a lease. The coordinator commits only within the first half of it.
  Duration lease = std::chrono::seconds(3);
  /// How long the coordinator collects grants before it fails the confirmation. At most half of
  /// `lease`.
  Duration prepare_timeout = std::chrono::milliseconds(1200);
  /// How long the coordinator waits for Committed messages before it reports kOutcomeUnknown.
  Duration commit_timeout = std::chrono::seconds(3);
  /// Interval at which unanswered messages are sent again.
  Duration resend_interval = std::chrono::milliseconds(150);
  /// Backoff after a conflict: the next try starts after a random delay of up to this value times
  /// the number of tries so far.
  Duration conflict_backoff = std::chrono::milliseconds(120);
  /// Number of tries before a conflict is reported to the operator.
  std::uint32_t conflict_tries = 4;
};

std::string encodeAcceptanceMessage(const AcceptanceMessage& message);

/// Decodes the output of `encodeAcceptanceMessage`. Returns kMalformed for anything else. Never
/// throws.
Result<AcceptanceMessage> decodeAcceptanceMessage(std::string_view bytes);

/// Returns the stable name of the message type for counters, for example "prepare".
std::string_view messageName(const AcceptanceMessage& message);

}  // namespace coursepond::distribution
