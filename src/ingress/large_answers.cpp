#include "ingress/large_answers.h"

namespace coursepond::ingress {
namespace {

/// Targets come from the configuration's routes; more are not told apart.
constexpr std::size_t kMostTargets = 64;

}  // namespace

void LargeAnswers::onAnswer(const LargeAnswerSettings& settings, Duration target,
                            std::uint64_t bytes) {
  const auto sample = static_cast<double>(bytes);
  const bool is_new = !bytes_by_target_.contains(target);
  if (is_new && bytes_by_target_.size() >= kMostTargets) return;
  double& average = bytes_by_target_.try_emplace(target, sample).first->second;
  average += settings.sample_weight * (sample - average);
}

bool LargeAnswers::expectsLarge(const LargeAnswerSettings& settings, Duration target) const {
  const auto found = bytes_by_target_.find(target);
  return found != bytes_by_target_.end() &&
         found->second >= static_cast<double>(settings.large_bytes);
}

}  // namespace coursepond::ingress
