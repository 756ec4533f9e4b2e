#include "proxy/retry_accounts.h"

namespace coursepond::proxy {

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
  nodes_ = nodes;
  for (auto& [service, account] : accounts_) account.allowance.setBurst(settings_.burst, nodes_);
}

RetryAccount& RetryAccounts::account(const ServiceName& service) {
  const auto found = accounts_.find(service);
  if (found != accounts_.end()) return found->second;
  RetryAccount& made = accounts_.emplace(service, RetryAccount(settings_.ratio)).first->second;
  made.allowance.setBurst(settings_.burst, nodes_);
  return made;
}

void RetryAccounts::onFirstAttempt(const ServiceName& service) {
  RetryAccount& account = this->account(service);
  ++account.statistics.first_attempts;
  account.allowance.onFirstAttempt();
}

bool RetryAccounts::takeRepeat(const ServiceName& service, RepeatReason reason) {
  RetryAccount& account = this->account(service);
  if (!account.allowance.take()) {
    ++account.statistics.denied;
    return false;
  }
  ++account.statistics.repeats[static_cast<std::size_t>(reason)];
  return true;
}

void RetryAccounts::onCall(const ServiceName& service) { profile_.onCall(service); }

void RetryAccounts::onRunStarted(double repeat_share) {
  profile_.onRunStarted(repeat_share);
  if (repeat_share <= 0) return;
  for (const auto& [service, calls] : profile_.callsPerRun()) {
    account(service).statistics.calls_of_repeats += repeat_share * calls;
  }
}

}  // namespace coursepond::proxy
