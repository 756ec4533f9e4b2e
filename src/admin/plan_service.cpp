#include "admin/plan_service.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "model/document.h"

namespace coursepond::admin {
namespace {

using distribution::AcceptanceRecord;

/// Polling interval while waiting for the content of a version.
constexpr Duration kContentPoll = std::chrono::milliseconds(50);

Error notNewer(Version version, Version accepted) {
  return Error{
      ErrorKind::kVersionRegression,
      "version " + std::to_string(version.value()) + " is not newer than the accepted version " +
          std::to_string(accepted.value()),
      "publish a version above " + std::to_string(accepted.value()) + " and plan that one"};
}

Error notArrived(Version version) {
  return Error{ErrorKind::kUnavailable,
               "version " + std::to_string(version.value()) + " has not arrived at this node yet",
               "try again in a few seconds, or at another node"};
}

bool isPlatformUnavailable(const source::FetchOutcome& outcome) {
  const ErrorKind kind = outcome.mistakes.front().error.kind;
  return kind == ErrorKind::kUnavailable || kind == ErrorKind::kTimeout ||
         kind == ErrorKind::kVersionRegression;
}

}  // namespace

PlanService::PlanService(const AdminParts& parts, const AdminSettings& settings,
                         ProxyDirectory& proxies, VersionFetcher& fetcher)
    : parts_(parts), settings_(settings), proxies_(proxies), fetcher_(fetcher) {}

PlanService::~PlanService() {
  for (const TimerId timer : timers_) {
    parts_.environment.cancel(timer);
  }
}

void PlanService::make(Version version, PlanCallback on_plan, PlanRefusalCallback on_refusal) {
  PendingPlan pending;
  pending.version = version;
  pending.on_plan = std::move(on_plan);
  pending.on_refusal = std::move(on_refusal);
  const Version accepted = parts_.replica.record().version;
  if (version != Version() && version <= accepted) {
    pending.on_refusal(PlanRefusal{notNewer(version, accepted), {}});
    return;
  }
  if (version != Version() && parts_.replica.find(version) != nullptr) {
    describeNewPlan(pending);
    return;
  }
  fetcher_.fetch(version, [this, pending](const source::FetchOutcome& outcome) {
    onFetched(pending, outcome);
  });
}

void PlanService::onFetched(PendingPlan pending, const source::FetchOutcome& outcome) {
  if (outcome.mistakes.empty()) {
    pending.version = outcome.version;
  } else if (!fallBackToStaged(pending, outcome)) {
    pending.on_refusal(PlanRefusal{outcome.mistakes.front().error, outcome.mistakes});
    return;
  }
  const Version accepted = parts_.replica.record().version;
  if (pending.version <= accepted) {
    pending.on_refusal(PlanRefusal{notNewer(pending.version, accepted), {}});
    return;
  }
  pending.deadline = parts_.environment.now() + settings_.staging_timeout;
  awaitContent(pending);
}

bool PlanService::fallBackToStaged(PendingPlan& pending,
                                   const source::FetchOutcome& outcome) const {
  const Version staged = parts_.replica.newestStaged();
  if (pending.version != Version() || !isPlatformUnavailable(outcome) ||
      staged <= parts_.replica.record().version) {
    return false;
  }
  pending.version = staged;
  pending.platform_reached = false;
  return true;
}

void PlanService::awaitContent(const PendingPlan& pending) {
  if (parts_.replica.find(pending.version) != nullptr) {
    describeNewPlan(pending);
    return;
  }
  if (parts_.environment.now() >= pending.deadline) {
    pending.on_refusal(PlanRefusal{notArrived(pending.version), {}});
    return;
  }
  const auto timer = std::make_shared<TimerId>(0);
  *timer = parts_.environment.schedule(kContentPoll, [this, pending, timer] {
    timers_.erase(*timer);
    awaitContent(pending);
  });
  timers_.insert(*timer);
}

void PlanService::describeNewPlan(const PendingPlan& pending) {
  proxies_.gather([this, pending](const ProxyCensus& census) {
    const auto target = parts_.replica.find(pending.version);
    const AcceptanceRecord& accepted = parts_.replica.record();
    if (pending.version <= accepted.version) {
      pending.on_refusal(PlanRefusal{notNewer(pending.version, accepted.version), {}});
      return;
    }
    if (target == nullptr) {
      pending.on_refusal(PlanRefusal{notArrived(pending.version), {}});
      return;
    }
    Plan plan = describe(
        AcceptanceRecord{pending.version, model::contentDigest(*target), accepted.version}, census);
    if (!plan.effect.has_value()) {
      pending.on_refusal(PlanRefusal{notArrived(accepted.version), {}});
      return;
    }
    plan.platform_reached = pending.platform_reached;
    ++statistics_.made;
    pending.on_plan(plan);
  });
}

void PlanService::show(const AcceptanceRecord& proposed, PlanCallback on_plan) {
  proxies_.gather([this, proposed, on_plan = std::move(on_plan)](const ProxyCensus& census) {
    on_plan(describe(proposed, census));
  });
}

Plan PlanService::describe(const AcceptanceRecord& proposed, const ProxyCensus& census) const {
  Plan plan;
  plan.proposed = proposed;
  plan.accepted = parts_.replica.record();
  plan.status = statusOf(proposed, plan.accepted);
  plan.zones_missing = census.missing;
  const auto target = parts_.replica.find(proposed.version);
  const auto base = proposed.base == Version() ? std::make_shared<const model::Configuration>()
                                               : parts_.replica.find(proposed.base);
  if (target != nullptr && base != nullptr && model::contentDigest(*target) == proposed.digest) {
    plan.effect = effectOf(*base, *target, parts_.view(), census);
  }
  return plan;
}

void PlanService::confirm(const AcceptanceRecord& proposed,
                          distribution::ConfirmCallback callback) {
  const auto counted = [this, plan = planIdOf(proposed),
                        callback = std::move(callback)](const Result<AcceptanceRecord>& outcome) {
    count(outcome);
    parts_.on_outcome(plan, outcome);
    callback(outcome);
  };
  if (const auto error = checkBeforeConfirm(proposed)) {
    counted(*error);
    return;
  }
  parts_.coordinator.confirm(planIdOf(proposed), proposed, parts_.view(), counted);
}

std::optional<Error> PlanService::checkBeforeConfirm(const AcceptanceRecord& proposed) const {
  const auto target = parts_.replica.find(proposed.version);
  if (target == nullptr || model::contentDigest(*target) == proposed.digest) {
    return std::nullopt;  // Without the content on this node, the voters decide.
  }
  return Error{ErrorKind::kDigestMismatch,
               "version " + std::to_string(proposed.version.value()) +
                   " was published with content that differs from this plan; nothing was changed",
               "make a new plan, and publish changed content under a new version only"};
}

void PlanService::count(const Result<AcceptanceRecord>& outcome) {
  if (outcome.has_value()) {
    ++statistics_.confirmed;
  } else if (outcome.error().kind == ErrorKind::kOutcomeUnknown) {
    ++statistics_.unknown;
  } else {
    ++statistics_.refused;
  }
}

}  // namespace coursepond::admin
