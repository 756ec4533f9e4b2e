#pragma once

/// Confirms a plan in two phases: the coordinator collects leases from a majority of zones
/// (prepare), then commits, and reports success once a majority of zones store the record.
/// See docs/design/ACCEPTANCE.md.
///
/// AcceptanceVoter answers prepare and commit messages on every node that receives them.
/// AcceptanceCoordinator runs on the node whose API the operator called. Both are driven by
/// control::ControlPlane; they read and advance the AcceptanceRecord that distribution::Replica
/// owns.

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "core/environment.h"
#include "core/error.h"
#include "distribution/acceptance_messages.h"
#include "distribution/acceptance_record.h"
#include "membership/view.h"

namespace coursepond::distribution {

/// Gives the voter and the coordinator access to the node's acceptance record.
class AcceptanceRecordStore {
 public:
  virtual ~AcceptanceRecordStore() = default;
  virtual const AcceptanceRecord& record() const = 0;
  /// Replaces the node's record if `record` is newer and propagates it to other nodes in that case.
  /// Returns true if it was newer.
  virtual bool offer(const AcceptanceRecord& record) = 0;
};

/// Receives the result for the operator. kConflict, kBaseMismatch and kNoQuorum mean that nothing
/// took effect. kOutcomeUnknown means that the plan may still take effect; the remedy of the error
/// says how to find out.
using ConfirmCallback = std::function<void(Result<AcceptanceRecord>)>;

/// Returns whether this node may grant a lease for `proposed`. It may if it knows the accepted
/// record and stores the proposed content, so that the content of an accepted version is always
/// available from a majority of zones.
using GrantCheck = std::function<bool(const AcceptanceRecord& proposed)>;

/// Grants leases and accepts commits. A voter grants one lease at a time and accepts a commit only
/// while the attempt that sent it holds the lease. Of two plans with the same base, at most one can
/// therefore reach a majority.
class AcceptanceVoter {
 public:
  /// All references must outlive this.
  AcceptanceVoter(Environment& environment, MessageSender<AcceptanceMessage>& sender,
                  AcceptanceRecordStore& record_store, GrantCheck may_grant);
  /// Handles Prepare, Commit and Release messages and replies to the sender. Ignores all others.
  void onMessage(const NodeId& from, const AcceptanceMessage& message);
  /// Called when the process has been paused: drops the lease, which may have expired meanwhile.
  void onPauseDetected();

 private:
  struct Lease {
    AttemptKey attempt;
    Prepare prepare;
    TimePoint expires;
  };

  void onPrepare(const NodeId& from, const Prepare& prepare);
  void onCommit(const NodeId& from, const Commit& commit);
  void onRelease(const Release& release);
  /// Returns the reason why the prepare cannot be granted now, or nothing if it can.
  std::optional<Refused> refusalOf(const Prepare& prepare) const;
  bool holdsLease(const AttemptKey& attempt) const;
  bool hasActiveLease() const;
  /// Returns whether `attempt` belongs to the coordinator that holds the lease and is not older
  /// than the lease. A coordinator runs one attempt at a time, so its newer attempt ends its older
  /// one.
  bool mayReplaceLease(const AttemptKey& attempt) const;
  Refused makeRefusal(const AttemptKey& attempt, ErrorKind kind) const;

  Environment& environment_;
  MessageSender<AcceptanceMessage>& sender_;
  AcceptanceRecordStore& record_store_;
  GrantCheck may_grant_;
  std::optional<Lease> lease_;
  std::deque<AttemptKey> committed_;  ///< Most recent ones, to answer retransmitted commits.
  std::deque<AttemptKey> released_;   ///< Most recent ones, to ignore prepares that arrive late.
};

/// Confirms plans on behalf of operators, one at a time.
class AcceptanceCoordinator {
 public:
  /// All references must outlive this. `sender` must also deliver messages addressed to `self`, but
  /// never synchronously inside send().
  AcceptanceCoordinator(NodeId self, Environment& environment,
                        MessageSender<AcceptanceMessage>& sender,
                        AcceptanceRecordStore& record_store, AcceptanceSettings settings);
  ~AcceptanceCoordinator();
  AcceptanceCoordinator(const AcceptanceCoordinator&) = delete;
  AcceptanceCoordinator& operator=(const AcceptanceCoordinator&) = delete;

  /// Invokes `callback` exactly once, within prepare_timeout + commit_timeout, possibly before this
  /// function returns. A node confirms one plan at a time: a call for another plan fails with
  /// kConflict, a call for the same plan gets the same outcome. `view` must contain every zone of
  /// the mesh, including unreachable ones.
  void confirm(const PlanId& plan, const AcceptanceRecord& proposed, const membership::View& view,
               ConfirmCallback callback);

  /// Handles the replies of voters. Ignores all other messages.
  void onMessage(const NodeId& from, const AcceptanceMessage& message);
  /// Called when the process has been paused: fails a plan that has not been committed yet, so that
  /// it is never committed late.
  void onPauseDetected();

 private:
  class Attempt;

  std::optional<Error> refusalBeforeStart(const AcceptanceRecord& proposed) const;
  /// Returns `error`, or kOutcomeUnknown if an earlier commit of the same plan may still take
  /// effect.
  Error refusalOrUnknown(const PlanId& plan, const AcceptanceRecord& proposed, Error error) const;
  void finish(const Result<AcceptanceRecord>& outcome);
  void rememberUnresolved(const PlanId& plan);

  NodeId self_;
  Environment& environment_;
  MessageSender<AcceptanceMessage>& sender_;
  AcceptanceRecordStore& record_store_;
  AcceptanceSettings settings_;
  std::uint64_t next_attempt_;
  std::unique_ptr<Attempt> attempt_;
  std::deque<PlanId> unresolved_;  ///< Plans whose commit was sent but whose outcome is not known.
};

}  // namespace coursepond::distribution
