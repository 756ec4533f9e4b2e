#include <algorithm>
#include <utility>

#include "distribution/acceptance.h"

namespace coursepond::distribution {
namespace {

/// Number of attempts remembered to recognise retransmitted and late messages.
constexpr std::size_t kRememberedAttempts = 16;
/// Upper bound for the lease a voter grants, regardless of the coordinator's settings.
constexpr Duration kMaxLease = std::chrono::seconds(10);

void remember(std::deque<AttemptKey>& attempts, const AttemptKey& attempt) {
  attempts.push_back(attempt);
  if (attempts.size() > kRememberedAttempts) {
    attempts.pop_front();
  }
}

bool contains(const std::deque<AttemptKey>& attempts, const AttemptKey& attempt) {
  return std::find(attempts.begin(), attempts.end(), attempt) != attempts.end();
}

}  // namespace

AcceptanceVoter::AcceptanceVoter(Environment& environment, MessageSender<AcceptanceMessage>& sender,
                                 AcceptanceRecordStore& record_store, GrantCheck may_grant)
    : environment_(environment),
      sender_(sender),
      record_store_(record_store),
      may_grant_(std::move(may_grant)) {}

void AcceptanceVoter::onMessage(const NodeId& from, const AcceptanceMessage& message) {
  if (const auto* prepare = std::get_if<Prepare>(&message)) {
    onPrepare(from, *prepare);
  } else if (const auto* commit = std::get_if<Commit>(&message)) {
    onCommit(from, *commit);
  } else if (const auto* release = std::get_if<Release>(&message)) {
    onRelease(*release);
  }
}

void AcceptanceVoter::onPauseDetected() { lease_.reset(); }

void AcceptanceVoter::onPrepare(const NodeId& from, const Prepare& prepare) {
  if (contains(released_, prepare.attempt) || contains(committed_, prepare.attempt)) {
    return;
  }
  if (prepare.base.version > Version()) {
    record_store_.offer(prepare.base);
  }
  if (const auto refusal = refusalOf(prepare)) {
    sender_.send(from, *refusal);
    return;
  }
  const Duration length = std::min(prepare.lease, kMaxLease);
  lease_ = Lease{prepare.attempt, prepare, environment_.now() + length};
  sender_.send(from, Granted{prepare.attempt, record_store_.record()});
}

std::optional<Refused> AcceptanceVoter::refusalOf(const Prepare& prepare) const {
  const AcceptanceRecord& record = record_store_.record();
  if (!(record == prepare.proposed)) {
    if (record.version != prepare.proposed.base || record.version >= prepare.proposed.version) {
      return makeRefusal(prepare.attempt, ErrorKind::kBaseMismatch);
    }
    if (record.digest != prepare.base.digest) {
      return makeRefusal(prepare.attempt, ErrorKind::kDigestMismatch);
    }
  }
  if (hasActiveLease() && !mayReplaceLease(prepare.attempt)) {
    return makeRefusal(prepare.attempt, ErrorKind::kConflict);
  }
  if (!may_grant_(prepare.proposed)) {
    return makeRefusal(prepare.attempt, ErrorKind::kUnavailable);
  }
  return std::nullopt;
}

void AcceptanceVoter::onCommit(const NodeId& from, const Commit& commit) {
  if (contains(committed_, commit.attempt)) {
    sender_.send(from, Committed{commit.attempt});
    return;
  }
  if (!holdsLease(commit.attempt) || !hasActiveLease() ||
      !(lease_->prepare.proposed == commit.record)) {
    sender_.send(from, makeRefusal(commit.attempt, ErrorKind::kConflict));
    return;
  }
  const AcceptanceRecord& record = record_store_.record();
  if (record.version != commit.record.base && !(record == commit.record)) {
    sender_.send(from, makeRefusal(commit.attempt, ErrorKind::kBaseMismatch));
    return;
  }
  lease_.reset();
  remember(committed_, commit.attempt);
  record_store_.offer(commit.record);
  sender_.send(from, Committed{commit.attempt});
}

void AcceptanceVoter::onRelease(const Release& release) {
  remember(released_, release.attempt);
  if (holdsLease(release.attempt)) {
    lease_.reset();
  }
}

bool AcceptanceVoter::holdsLease(const AttemptKey& attempt) const {
  return lease_.has_value() && lease_->attempt == attempt;
}

bool AcceptanceVoter::mayReplaceLease(const AttemptKey& attempt) const {
  return lease_->attempt.coordinator == attempt.coordinator &&
         lease_->attempt.number <= attempt.number;
}

bool AcceptanceVoter::hasActiveLease() const {
  return lease_.has_value() && environment_.now() < lease_->expires;
}

Refused AcceptanceVoter::makeRefusal(const AttemptKey& attempt, ErrorKind kind) const {
  Refused refusal;
  refusal.attempt = attempt;
  refusal.kind = kind;
  refusal.holder = hasActiveLease() ? lease_->prepare.plan : PlanId();
  refusal.record = record_store_.record();
  return refusal;
}

}  // namespace coursepond::distribution
