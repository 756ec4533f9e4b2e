#include "proxy/retry_accounts.h"

#include <algorithm>
#include <utility>

namespace coursepond::proxy {
namespace {

/// The id of a call consists of the id of its parent, this separator and a suffix, as is usual for
/// hierarchical request ids. For servers that use other ids, calls are estimated by averages.
constexpr char kChildSeparator = '.';
/// Time after which a smaller number of nodes takes effect. Longer than entries stay lapsed because
/// of an outage of the source, and longer than the spans of about ten seconds for which operators
/// set upper bounds for repeats.
constexpr Duration kFewerNodesDelay = std::chrono::seconds(30);
/// A run may be refused if its probability of being a repeat is at least this.
constexpr double kProbableRepeat = 0.5;
/// Fraction of a node's share of the burst that RetryBudgetUse::kHalf leaves unused.
constexpr double kReservedByHalf = 0.5;
/// Half of the share is reserved for repeats of a service until none was wanted for this time,
/// which is several service times of a busy server.
constexpr Duration kRepeatReservationTime = std::chrono::seconds(2);
/// Resolution of a random draw from 0 to 1.
constexpr std::uint64_t kDrawSteps = 1'000'000;

double reservedShare(RetryBudgetUse use) {
  return use == RetryBudgetUse::kHalf ? kReservedByHalf : 0;
}

}  // namespace

std::string_view repeatReasonName(RepeatReason reason) {
  switch (reason) {
    case RepeatReason::kServerFailed:
      return "server_failed";
    case RepeatReason::kServerRefused:
      return "server_refused";
    case RepeatReason::kAnswerLost:
      return "answer_lost";
    case RepeatReason::kIngressSilent:
      return "ingress_silent";
    case RepeatReason::kIngressLost:
      return "ingress_lost";
    case RepeatReason::kOtherInstance:
      return "other_instance";
  }
  return "unknown";
}

void RetryAccounts::setNodes(std::size_t nodes) {
  if (nodes == 0) return;  // No nodes are listed, or their entries have lapsed.
  const TimePoint now = environment_.now();
  if (nodes < nodes_) {
    if (!std::exchange(has_fewer_nodes_, true)) fewer_nodes_since_ = now;
    if (now - fewer_nodes_since_ < kFewerNodesDelay) return;
  }
  has_fewer_nodes_ = false;
  nodes_ = nodes;
  for (auto& [service, account] : accounts_) applySettings(account);
}

void RetryAccounts::changeSettings(RetryAllowanceSettings settings) {
  settings_ = settings;
  for (auto& [service, account] : accounts_) applySettings(account);
}

void RetryAccounts::applySettings(RetryAccount& account) const {
  account.allowance.setRatio(settings_.ratio);
  if (nodes_ > 0) account.allowance.setBurst(settings_.burst, nodes_);
}

RetryAccount& RetryAccounts::account(const ServiceName& service) {
  const auto found = accounts_.find(service);
  if (found != accounts_.end()) return found->second;
  RetryAccount& made = accounts_.try_emplace(service).first->second;
  applySettings(made);
  return made;
}

double RetryAccounts::draw() {
  return static_cast<double>(environment_.random(kDrawSteps)) / static_cast<double>(kDrawSteps);
}

// ---- Egress

double RetryAccounts::onFirstAttempt(const ServiceName& service, std::string_view request) {
  RetryAccount& account = this->account(service);
  ++account.statistics.first_attempts;
  ServerRun* const parent = parentOf(request);
  if (parent != nullptr) onCallIdentified();
  // If calls do not name their parent, every request that starts on this node may be a call.
  const bool may_be_call = parent != nullptr || !can_identify_calls_;
  if (may_be_call) profile_.onCall(service);
  const double own_share = may_be_call ? profile_.repeatShare() : 0;
  const double repeat_share = parent != nullptr ? parent->repeat_share : own_share;
  account.allowance.onFirstAttempt(repeat_share);
  if (repeat_share > 0) chargeCall(parent, service, repeat_share);
  return repeat_share;
}

/// Called for each call that names its parent. The first one resets the call profile, because until
/// then every request that started on this node was counted as a call of its server.
void RetryAccounts::onCallIdentified() {
  if (!std::exchange(can_identify_calls_, true)) profile_.resetCalls();
}

bool RetryAccounts::namesParent(std::string_view request) {
  return request.rfind(kChildSeparator) != std::string_view::npos;
}

ServerRun* RetryAccounts::parentOf(std::string_view request) const {
  const std::size_t separator = request.rfind(kChildSeparator);
  if (separator == std::string_view::npos) return nullptr;
  const auto found = runs_.find(std::string(request.substr(0, separator)));
  return found == runs_.end() ? nullptr : found->second;
}

void RetryAccounts::chargeCall(ServerRun* parent, const ServiceName& service, double repeat_share) {
  RetryAccount& account = this->account(service);
  account.statistics.calls_of_repeats += repeat_share;
  double cost = repeat_share;
  if (parent != nullptr) {
    double& prepaid = parent->prepaid[service];
    const double paid = std::min(prepaid, cost);
    prepaid -= paid;
    cost -= paid;
  }
  account.allowance.charge(cost);
}

void RetryAccounts::onCallStarted(std::string_view request) {
  ServerRun* const parent = parentOf(request);
  if (parent == nullptr) return;
  ++parent->calls.made;
  ++parent->calls.open;
}

void RetryAccounts::onCallAtRisk(std::string_view request) {
  if (ServerRun* const parent = parentOf(request)) ++parent->calls.at_risk;
}

/// If a server runs the same request twice, calls of the earlier run may end in the later one, so
/// no number may fall below zero.
void RetryAccounts::onCallEnded(std::string_view request, bool was_at_risk, bool has_failed) {
  ServerRun* const parent = parentOf(request);
  if (parent == nullptr) return;
  RunCalls& calls = parent->calls;
  if (calls.open > 0) --calls.open;
  if (was_at_risk && calls.at_risk > 0) --calls.at_risk;
  if (has_failed && !std::exchange(calls.has_failed, true)) ++lost_runs_;
}

SiblingState RetryAccounts::siblings(std::string_view request, bool is_at_risk) const {
  const ServerRun* const parent = parentOf(request);
  if (parent == nullptr) return SiblingState::kNone;
  const RunCalls& calls = parent->calls;
  if (calls.has_failed && outcomes_.failedCallLosesRun()) return SiblingState::kRunLost;
  if (calls.at_risk > (is_at_risk ? 1 : 0)) return SiblingState::kAtRisk;
  return calls.open > 1 ? SiblingState::kOpen : SiblingState::kNone;
}

bool RetryAccounts::coversSiblings(const ServiceName& service, std::string_view request) {
  const ServerRun* const parent = parentOf(request);
  if (parent == nullptr || parent->calls.at_risk <= 1) return true;
  RetryAccount& account = this->account(service);
  if (account.allowance.left() >= static_cast<double>(parent->calls.at_risk)) return true;
  ++account.statistics.denied;
  return false;
}

bool RetryAccounts::spendRepeat(const ServiceName& service, RepeatReason reason,
                                RetryBudgetUse use) {
  RetryAccount& account = this->account(service);
  account.last_asked = environment_.now();
  if (!account.allowance.take(1, reservedShare(use), draw())) {
    ++account.statistics.denied;
    return false;
  }
  ++account.statistics.repeats[static_cast<std::size_t>(reason)];
  return true;
}

void RetryAccounts::refundRepeat(const ServiceName& service) {
  RetryAccount& account = this->account(service);
  ++account.statistics.given_back;
  account.allowance.giveBack(1);
}

// ---- Ingress

/// If calls do not name their parent, they are charged when they are made and nothing is prepaid.
/// The call profile then also counts requests of other callers, and would refuse repeated runs on
/// servers that make no calls.
bool RetryAccounts::admit(ServerRun& run) {
  if (run.is_call) onCallIdentified();
  // The repeat of a failed run makes all of its calls again. First runs are admitted in any case,
  // so the average rises again when the calls are served.
  if (run.repeat_share >= kProbableRepeat && outcomes_.mostRunsFail(run.target)) {
    ++runs_unservable_;
    return false;
  }
  if (run.repeat_share > 0 && can_identify_calls_ && !prepayCalls(run)) return false;
  runs_.emplace(run.request, &run);
  return true;
}

/// Charges the expected calls of a repeated run in advance. Returns false if the retry budget does
/// not cover them. A direct repeat costs one call, and a repeated run costs all of its calls, so
/// half of the budget is reserved for direct repeats. It is only reserved while there are any:
/// otherwise runs would be refused in favor of a service that has nothing to repeat. A run that is
/// probably not a repeat is charged but never refused.
bool RetryAccounts::prepayCalls(ServerRun& run) {
  for (const auto& [service, calls] : profile_.callsPerRun()) {
    RetryAccount& account = this->account(service);
    const double cost = run.repeat_share * calls;
    if (run.repeat_share < kProbableRepeat) {
      account.allowance.charge(cost);
    } else if (!account.allowance.take(cost, reservedForRepeats(account), draw())) {
      ++account.statistics.runs_denied;
      refundPrepaid(run);
      return false;
    }
    run.prepaid[service] = cost;
  }
  return true;
}

double RetryAccounts::reservedForRepeats(const RetryAccount& account) const {
  const bool is_wanted =
      account.last_asked && environment_.now() - *account.last_asked < kRepeatReservationTime;
  return is_wanted ? kReservedByHalf : 0;
}

void RetryAccounts::refundPrepaid(ServerRun& run) {
  for (const auto& [service, prepaid] : run.prepaid) account(service).allowance.giveBack(prepaid);
  run.prepaid.clear();
}

void RetryAccounts::onStarted(ServerRun& run) {
  run.is_running = true;
  profile_.onRunStarted(run.repeat_share);
}

void RetryAccounts::remove(ServerRun& run) {
  const auto [begin, end] = runs_.equal_range(run.request);
  for (auto entry = begin; entry != end; ++entry) {
    if (entry->second != &run) continue;
    runs_.erase(entry);
    break;
  }
  refundPrepaid(run);
  const bool has_outcome = run.calls.made > 0 && run.has_failed;
  if (has_outcome) outcomes_.onRunEnded(run.target, run.calls.has_failed, *run.has_failed);
  if (std::exchange(run.is_running, false)) profile_.onRunEnded(run.repeat_share);
}

}  // namespace coursepond::proxy
