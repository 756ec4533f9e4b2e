#include "proxy/retry_accounts.h"

#include <algorithm>
#include <utility>

namespace coursepond::proxy {
namespace {

/// The id of a call is that of its parent, this, and a part of its own, as is usual for
/// hierarchical request ids. Servers that do otherwise are told by averages.
constexpr char kChildSeparator = '.';
/// A smaller number of nodes counts after this time: longer than a source's outage lets entries
/// lapse and come back, and than the spans of some ten seconds over which operators bound repeats.
constexpr Duration kFewerNodesHold = std::chrono::seconds(30);
/// Runs that are at least as likely to be a repeat may be turned away.
constexpr double kProbableRepeat = 0.5;
/// Of a node's part of the burst, left by those that may use half.
constexpr double kKeptByHalf = 0.5;
/// A service whose requests were not repeated for so long needs nothing kept for them: some service
/// times of a busy server.
constexpr Duration kRepeatsWantedFor = std::chrono::seconds(2);
/// Steps of a random draw from 0 to 1.
constexpr std::uint64_t kDrawSteps = 1'000'000;

double keptShare(RepeatUse use) { return use == RepeatUse::kHalf ? kKeptByHalf : 0; }

}  // namespace

std::string_view repeatWord(RepeatReason reason) {
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
  if (nodes == 0) return;  // Nothing is listed yet, or nothing any more.
  const TimePoint now = environment_.now();
  if (nodes < nodes_) {
    if (!std::exchange(is_told_fewer_, true)) fewer_nodes_since_ = now;
    if (now - fewer_nodes_since_ < kFewerNodesHold) return;
  }
  is_told_fewer_ = false;
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
  if (parent != nullptr) learnOfCalls();
  // Without a word of their parents, all that begins here may be calls.
  const bool may_be_call = parent != nullptr || !knows_calls_;
  if (may_be_call) profile_.onCall(service);
  const double own_share = may_be_call ? profile_.repeatShare() : 0;
  const double repeat_share = parent != nullptr ? parent->repeat_share : own_share;
  account.allowance.onFirstAttempt(repeat_share);
  if (repeat_share > 0) chargeCall(parent, service, repeat_share);
  return repeat_share;
}

/// Until then, whatever began at this node was counted as a call of the own server.
void RetryAccounts::learnOfCalls() {
  if (!std::exchange(knows_calls_, true)) profile_.forgetCalls();
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
    double& held = parent->held[service];
    const double paid = std::min(held, cost);
    held -= paid;
    cost -= paid;
  }
  account.allowance.charge(cost);
}

bool RetryAccounts::takeRepeat(const ServiceName& service, RepeatReason reason, RepeatUse use) {
  RetryAccount& account = this->account(service);
  account.last_asked = environment_.now();
  if (!account.allowance.take(1, keptShare(use), draw())) {
    ++account.statistics.denied;
    return false;
  }
  ++account.statistics.repeats[static_cast<std::size_t>(reason)];
  return true;
}

void RetryAccounts::giveBackRepeat(const ServiceName& service) {
  RetryAccount& account = this->account(service);
  ++account.statistics.given_back;
  account.allowance.giveBack(1);
}

// ---- Ingress

/// Where calls do not name their parent, they are charged as they come, and nothing is held for
/// them: what is known of them would turn away the repeats of servers that make none.
bool RetryAccounts::admit(ServerRun& run) {
  if (run.is_call) learnOfCalls();
  if (run.repeat_share > 0 && knows_calls_ && !payForCalls(run)) return false;
  runs_.emplace(run.request, &run);
  return true;
}

/// A repeat that costs one call is worth more than one that costs all calls of a run, so that half
/// of the allowance is left to those while there are any. Kept at all times, it turned away 17
/// repeats of one server in five seconds for the sake of a service that had nothing to repeat. A
/// run that is hardly a repeat is charged, but never turned away.
bool RetryAccounts::payForCalls(ServerRun& run) {
  for (const auto& [service, calls] : profile_.callsPerRun()) {
    RetryAccount& account = this->account(service);
    const double cost = run.repeat_share * calls;
    if (run.repeat_share < kProbableRepeat) {
      account.allowance.charge(cost);
    } else if (!account.allowance.take(cost, keptForRepeats(account), draw())) {
      ++account.statistics.runs_denied;
      giveBackHeld(run);
      return false;
    }
    run.held[service] = cost;
  }
  return true;
}

double RetryAccounts::keptForRepeats(const RetryAccount& account) const {
  const bool is_wanted =
      account.last_asked && environment_.now() - *account.last_asked < kRepeatsWantedFor;
  return is_wanted ? kKeptByHalf : 0;
}

void RetryAccounts::giveBackHeld(ServerRun& run) {
  for (const auto& [service, held] : run.held) account(service).allowance.giveBack(held);
  run.held.clear();
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
  giveBackHeld(run);
  if (std::exchange(run.is_running, false)) profile_.onRunEnded(run.repeat_share);
}

}  // namespace coursepond::proxy
