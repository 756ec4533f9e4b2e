#include <algorithm>
#include <string>
#include <utility>

#include "distribution/acceptance.h"
#include "distribution/acceptance_attempt.h"

namespace coursepond::distribution {
namespace {

/// Number of plans with an unknown outcome that are remembered. While a plan is remembered, a
/// later confirmation of it is answered with kOutcomeUnknown instead of a refusal that could turn
/// out to be wrong.
constexpr std::size_t kRememberedPlans = 64;

std::string text(Version version) { return std::to_string(version.value()); }

Error versionRegression(const AcceptanceRecord& proposed, const AcceptanceRecord& record) {
  return Error{ErrorKind::kVersionRegression,
               "version " + text(proposed.version) + " is not newer than the accepted version " +
                   text(record.version) + "; nothing was changed",
               "plan a version above " + text(record.version)};
}

Error baseMismatch(const AcceptanceRecord& proposed, const AcceptanceRecord& record) {
  return Error{ErrorKind::kBaseMismatch,
               "the plan was made on version " + text(proposed.base) + ", but version " +
                   text(record.version) + " is accepted; nothing was changed",
               "make a new plan and confirm that one"};
}

Error staleError(const AcceptanceRecord& proposed, const AcceptanceRecord& record) {
  return record.version >= proposed.version ? versionRegression(proposed, record)
                                            : baseMismatch(proposed, record);
}

Error conflict(const PlanId& holder) {
  const std::string other = holder.empty() ? "another plan" : "plan " + holder.value();
  return Error{ErrorKind::kConflict, other + " is being confirmed; nothing was changed",
               "wait a few seconds, read GET /v1/status, and make a new plan if the accepted "
               "version has changed"};
}

Error noQuorum(const Ballot& ballot, std::string_view why) {
  return Error{ErrorKind::kNoQuorum,
               std::string(why) + ": " + std::to_string(ballot.majority()) + " of " +
                   std::to_string(ballot.zoneCount()) + " zones are needed, " +
                   std::to_string(ballot.usableZones()) + " can be asked; nothing was changed",
               "confirm again at a node that reaches most zones, or when the zones are back"};
}

Error pausedTooLong() {
  return Error{ErrorKind::kUnavailable,
               "this node was paused or too slow between prepare and commit; nothing was changed",
               "confirm the plan again"};
}

Error digestMismatch(const AcceptanceRecord& proposed) {
  return Error{ErrorKind::kDigestMismatch,
               "peers hold other content for version " + text(proposed.base) +
                   " than this node; nothing was changed",
               "read GET /v1/status on several nodes, and publish a new version"};
}

Error outcomeUnknown(const PlanId& plan, std::string_view why) {
  return Error{ErrorKind::kOutcomeUnknown,
               "plan " + plan.value() + " may or may not take effect: " + std::string(why),
               "read GET /v1/plans/" + plan.value() +
                   " on any node, or confirm the same plan again, which is harmless"};
}

}  // namespace

/// The state of one confirmation. It is destroyed with its coordinator or as soon as its outcome is
/// known.
class AcceptanceCoordinator::Attempt {
 public:
  enum class Phase { kPreparing, kWaitingToRetry, kCommitting };

  Attempt(AcceptanceCoordinator& owner, PlanId plan, AcceptanceRecord proposed,
          const membership::View& view)
      : owner_(owner), plan_(std::move(plan)), proposed_(proposed), ballot_(view) {}

  ~Attempt() {
    owner_.environment_.cancel(deadline_timer_);
    owner_.environment_.cancel(step_timer_);
  }
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  const PlanId& plan() const { return plan_; }
  const AcceptanceRecord& proposed() const { return proposed_; }
  const Ballot& ballot() const { return ballot_; }
  bool committing() const { return phase_ == Phase::kCommitting; }
  void addCallback(ConfirmCallback callback) { callbacks_.push_back(std::move(callback)); }
  std::vector<ConfirmCallback> takeCallbacks() { return std::move(callbacks_); }

  /// The functions below may finish the attempt, which destroys this object. The caller must not
  /// use it afterwards.
  void start();
  void onGranted(const NodeId& from, const Granted& granted);
  void onRefused(const NodeId& from, const Refused& refused);
  void onCommitted(const NodeId& from, const Committed& committed);
  void onPauseDetected();

 private:
  bool current(const AttemptKey& key) const { return key == key_; }
  void beginTry();
  void sendPrepares();
  void scheduleResend();
  void resend();
  void onPrepareRefused(VoterState& state, const Refused& refused);
  void onTryFailed();
  void onPrepareDeadline();
  void commit();
  void sendCommit(const NodeId& voter);
  void onCommitDeadline();
  void refuse(Error error);
  void release();
  Error lastConflict() const;

  AcceptanceCoordinator& owner_;
  PlanId plan_;
  AcceptanceRecord proposed_;
  Ballot ballot_;
  std::vector<ConfirmCallback> callbacks_;
  Phase phase_ = Phase::kPreparing;
  AttemptKey key_;
  TimePoint try_started_;
  std::uint32_t tries_ = 0;
  PlanId conflicting_plan_;
  bool content_missing_ = false;
  bool proposed_seen_ = false;  ///< A voter already stores the proposed record.
  TimerId deadline_timer_ = 0;
  TimerId step_timer_ = 0;
};

void AcceptanceCoordinator::Attempt::start() {
  deadline_timer_ = owner_.environment_.schedule(owner_.settings_.prepare_timeout,
                                                 [this] { onPrepareDeadline(); });
  beginTry();
}

void AcceptanceCoordinator::Attempt::beginTry() {
  phase_ = Phase::kPreparing;
  ++tries_;
  key_ = AttemptKey{owner_.self_, owner_.next_attempt_++};
  try_started_ = owner_.environment_.now();
  ballot_.restart();
  sendPrepares();
  scheduleResend();
}

void AcceptanceCoordinator::Attempt::sendPrepares() {
  const Prepare prepare{key_, plan_, proposed_, owner_.record_store_.record(),
                        owner_.settings_.lease};
  for (const NodeId& voter : ballot_.votersInState(VoterState::kAsked)) {
    owner_.sender_.send(voter, prepare);
  }
}

void AcceptanceCoordinator::Attempt::scheduleResend() {
  step_timer_ =
      owner_.environment_.schedule(owner_.settings_.resend_interval, [this] { resend(); });
}

void AcceptanceCoordinator::Attempt::resend() {
  if (phase_ == Phase::kPreparing) {
    sendPrepares();
  } else {
    for (const NodeId& voter : ballot_.votersInState(VoterState::kGranted)) {
      sendCommit(voter);
    }
  }
  scheduleResend();
}

void AcceptanceCoordinator::Attempt::onGranted(const NodeId& from, const Granted& granted) {
  VoterState* state = ballot_.find(from);
  if (!current(granted.attempt) || state == nullptr || *state != VoterState::kAsked) {
    return;
  }
  *state = VoterState::kGranted;
  proposed_seen_ = proposed_seen_ || granted.record == proposed_;
  if (committing()) {
    sendCommit(from);
  } else if (ballot_.granted()) {
    commit();
  }
}

void AcceptanceCoordinator::Attempt::onRefused(const NodeId& from, const Refused& refused) {
  VoterState* state = ballot_.find(from);
  if (!current(refused.attempt) || state == nullptr) {
    return;
  }
  if (!committing()) {
    onPrepareRefused(*state, refused);
    return;
  }
  if (*state == VoterState::kCommitted) {
    return;
  }
  *state = *state == VoterState::kGranted ? VoterState::kLeaseLost : VoterState::kRefused;
  if (ballot_.commitImpossible()) {
    owner_.finish(outcomeUnknown(plan_, "too many zones did not take the commit in time"));
  }
}

void AcceptanceCoordinator::Attempt::onPrepareRefused(VoterState& state, const Refused& refused) {
  if (refused.kind == ErrorKind::kBaseMismatch) {
    owner_.record_store_.offer(refused.record);
    refuse(staleError(proposed_, refused.record));
    return;
  }
  if (refused.kind == ErrorKind::kDigestMismatch) {
    refuse(digestMismatch(proposed_));
    return;
  }
  if (refused.kind != ErrorKind::kConflict) {
    content_missing_ = true;  // The resend timer sends the prepare again.
    return;
  }
  state = VoterState::kRefused;
  conflicting_plan_ = refused.holder;
  if (ballot_.grantImpossible()) {
    onTryFailed();
  }
}

void AcceptanceCoordinator::Attempt::onTryFailed() {
  release();
  if (tries_ >= owner_.settings_.conflict_tries) {
    refuse(lastConflict());
    return;
  }
  phase_ = Phase::kWaitingToRetry;
  owner_.environment_.cancel(step_timer_);
  const auto bound =
      static_cast<std::uint64_t>(owner_.settings_.conflict_backoff.count()) * tries_ + 1;
  const Duration wait(static_cast<Duration::rep>(owner_.environment_.random(bound)));
  step_timer_ = owner_.environment_.schedule(wait, [this] { beginTry(); });
}

void AcceptanceCoordinator::Attempt::onPrepareDeadline() {
  if (!conflicting_plan_.empty()) {
    refuse(lastConflict());
  } else if (content_missing_) {
    refuse(noQuorum(ballot_, "the planned content has not reached enough zones yet"));
  } else {
    refuse(noQuorum(ballot_, "too few voters answered"));
  }
}

void AcceptanceCoordinator::Attempt::commit() {
  const TimePoint now = owner_.environment_.now();
  if (now - try_started_ > owner_.settings_.lease / 2) {
    refuse(pausedTooLong());
    return;
  }
  const AcceptanceRecord& record = owner_.record_store_.record();
  if (!(record == proposed_) && record.version != proposed_.base) {
    refuse(staleError(proposed_, record));
    return;
  }
  phase_ = Phase::kCommitting;
  owner_.environment_.cancel(deadline_timer_);
  deadline_timer_ =
      owner_.environment_.schedule(owner_.settings_.commit_timeout, [this] { onCommitDeadline(); });
  for (const NodeId& voter : ballot_.votersInState(VoterState::kGranted)) {
    sendCommit(voter);
  }
  owner_.record_store_.offer(proposed_);
}

void AcceptanceCoordinator::Attempt::sendCommit(const NodeId& voter) {
  owner_.sender_.send(voter, Commit{key_, proposed_});
}

void AcceptanceCoordinator::Attempt::onCommitted(const NodeId& from, const Committed& committed) {
  VoterState* state = ballot_.find(from);
  if (!current(committed.attempt) || state == nullptr || !committing()) {
    return;
  }
  *state = VoterState::kCommitted;
  if (ballot_.committed()) {
    owner_.finish(proposed_);
  }
}

void AcceptanceCoordinator::Attempt::onCommitDeadline() {
  owner_.finish(outcomeUnknown(plan_, "the commit was sent, but too few zones answered"));
}

void AcceptanceCoordinator::Attempt::onPauseDetected() {
  if (!committing()) {
    refuse(pausedTooLong());
  }
}

void AcceptanceCoordinator::Attempt::refuse(Error error) {
  release();
  if (proposed_seen_ || conflicting_plan_ == plan_) {
    error = outcomeUnknown(plan_, "it is being confirmed through another node");
  }
  owner_.finish(owner_.refusalOrUnknown(plan_, proposed_, std::move(error)));
}

void AcceptanceCoordinator::Attempt::release() {
  for (const NodeId& voter : ballot_.allVoters()) {
    owner_.sender_.send(voter, Release{key_});
  }
}

Error AcceptanceCoordinator::Attempt::lastConflict() const { return conflict(conflicting_plan_); }

AcceptanceCoordinator::AcceptanceCoordinator(NodeId self, Environment& environment,
                                             MessageSender<AcceptanceMessage>& sender,
                                             AcceptanceRecordStore& record_store,
                                             AcceptanceSettings settings)
    : self_(std::move(self)),
      environment_(environment),
      sender_(sender),
      record_store_(record_store),
      settings_(settings),
      next_attempt_(environment.random(std::uint64_t{1} << 62)) {}

AcceptanceCoordinator::~AcceptanceCoordinator() = default;

void AcceptanceCoordinator::confirm(const PlanId& plan, const AcceptanceRecord& proposed,
                                    const membership::View& view, ConfirmCallback callback) {
  if (attempt_ != nullptr) {
    if (attempt_->plan() == plan && attempt_->proposed() == proposed) {
      attempt_->addCallback(std::move(callback));
    } else {
      callback(refusalOrUnknown(plan, proposed, conflict(attempt_->plan())));
    }
    return;
  }
  if (const auto error = refusalBeforeStart(proposed)) {
    callback(refusalOrUnknown(plan, proposed, *error));
    return;
  }
  auto attempt = std::make_unique<Attempt>(*this, plan, proposed, view);
  if (!attempt->ballot().canSucceed()) {
    const Error error = noQuorum(attempt->ballot(), "too many zones cannot be reached");
    callback(refusalOrUnknown(plan, proposed, error));
    return;
  }
  attempt_ = std::move(attempt);
  attempt_->addCallback(std::move(callback));
  attempt_->start();
}

std::optional<Error> AcceptanceCoordinator::refusalBeforeStart(
    const AcceptanceRecord& proposed) const {
  const AcceptanceRecord& record = record_store_.record();
  if (record == proposed) {
    return std::nullopt;
  }
  if (record.version >= proposed.version || record.version != proposed.base) {
    return staleError(proposed, record);
  }
  return std::nullopt;
}

Error AcceptanceCoordinator::refusalOrUnknown(const PlanId& plan, const AcceptanceRecord& proposed,
                                              Error error) const {
  const bool unresolved =
      std::find(unresolved_.begin(), unresolved_.end(), plan) != unresolved_.end();
  if (unresolved || record_store_.record() == proposed) {
    return outcomeUnknown(plan, "an earlier confirmation of it was sent to the voters");
  }
  return error;
}

void AcceptanceCoordinator::onMessage(const NodeId& from, const AcceptanceMessage& message) {
  if (attempt_ == nullptr) {
    return;
  }
  if (const auto* granted = std::get_if<Granted>(&message)) {
    attempt_->onGranted(from, *granted);
  } else if (const auto* refused = std::get_if<Refused>(&message)) {
    attempt_->onRefused(from, *refused);
  } else if (const auto* committed = std::get_if<Committed>(&message)) {
    attempt_->onCommitted(from, *committed);
  }
}

void AcceptanceCoordinator::onPauseDetected() {
  if (attempt_ != nullptr) {
    attempt_->onPauseDetected();
  }
}

void AcceptanceCoordinator::finish(const Result<AcceptanceRecord>& outcome) {
  const std::unique_ptr<Attempt> finished = std::move(attempt_);
  if (finished->committing() && outcome.has_error()) {
    rememberUnresolved(finished->plan());
  }
  for (const ConfirmCallback& callback : finished->takeCallbacks()) {
    callback(outcome);
  }
}

void AcceptanceCoordinator::rememberUnresolved(const PlanId& plan) {
  unresolved_.push_back(plan);
  if (unresolved_.size() > kRememberedPlans) {
    unresolved_.pop_front();
  }
}

}  // namespace coursepond::distribution
