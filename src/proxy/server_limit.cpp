#include "proxy/server_limit.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "core/time_arithmetic.h"

namespace coursepond::proxy {
namespace {

/// Requests that were not sent for this long may be sent at once later.
constexpr double kBurstSeconds = 0.25;
/// How long a node that has a share of the limit may use one token.
constexpr double kSharedTokenLifeSeconds = 1.0;
/// Fraction of a token that may be missing, because of rounding.
constexpr double kTokenTolerance = 1e-6;

}  // namespace

LimitReport readLimit(std::string_view text) {
  double per_second = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, status] = std::from_chars(text.data(), end, per_second);
  const bool is_number = status == std::errc() && rest == end && std::isfinite(per_second);
  if (!is_number || per_second < 0) return {LimitReport::Kind::kUnreadable, 0};
  return {LimitReport::Kind::kLimit, per_second};
}

std::string_view limitChangeName(LimitChange change) {
  switch (change) {
    case LimitChange::kNone:
      return "none";
    case LimitChange::kNamed:
      return "named";
    case LimitChange::kChanged:
      return "changed";
    case LimitChange::kLifted:
      return "lifted";
    case LimitChange::kUnreadable:
      return "unreadable";
  }
  return "unknown";
}

LimitChange ServerLimit::onAnswer(const LimitReport& report, AnswerSource source, TimePoint sent,
                                  TimePoint now) {
  switch (report.kind) {
    case LimitReport::Kind::kUnreadable:
      return LimitChange::kUnreadable;
    case LimitReport::Kind::kLimit:
      reported_at_ = now;
      return setLimit(report.per_second, now);
    case LimitReport::Kind::kNone:
      break;
  }
  if (source != AnswerSource::kRun) return LimitChange::kNone;
  is_known_ = true;
  if (!per_second_ || sent <= reported_at_) return LimitChange::kNone;
  per_second_.reset();
  return LimitChange::kLifted;
}

LimitChange ServerLimit::onTold(double per_second, TimePoint now) {
  if (is_known_) return LimitChange::kNone;
  reported_at_ = now;
  return setLimit(per_second, now);
}

void ServerLimit::reset() {
  const double share = share_;
  const double phase = phase_;
  *this = ServerLimit();
  setShare(share);
  setPhase(phase);
}

/// The bucket starts empty, because the requests that the server has now were sent without a limit.
LimitChange ServerLimit::setLimit(double per_second, TimePoint now) {
  is_known_ = true;
  if (per_second_ == per_second) return LimitChange::kNone;
  const bool is_first = !per_second_.has_value();
  const double tokens = is_first ? phase_ : tokensAt(now);
  const double rate_before = is_first ? 0 : rate();
  per_second_ = per_second;
  tokens_ = std::min(tokens, depth());
  // Each node that shares the limit may have a token of the higher rate.
  const bool is_lowered = !is_first && rate() < rate_before;
  if (share_ < 1 && is_lowered) tokens_ = tokens * rate() / rate_before;
  filled_at_ = now;
  return is_first ? LimitChange::kNamed : LimitChange::kChanged;
}

double ServerLimit::rate() const { return std::max(*per_second_, kMinLimitPerSecond) * share_; }

double ServerLimit::depth() const { return std::max(1.0, rate() * kBurstSeconds); }

double ServerLimit::tokensAt(TimePoint now) const {
  const double tokens = tokens_ + rate() * toSeconds(now - filled_at_);
  const bool expires = share_ < 1 && rate() * kSharedTokenLifeSeconds < 1;
  if (!expires || tokens <= 1) return std::min(depth(), tokens);
  const double since_last_token = std::fmod(tokens - 1, 1) / rate();
  return since_last_token <= kSharedTokenLifeSeconds ? 1 : since_last_token * rate();
}

Duration ServerLimit::waitFor(double requests, TimePoint now) const {
  if (!per_second_) return Duration(0);
  const double missing = requests - tokensAt(now);
  if (missing <= kTokenTolerance) return Duration(0);
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Duration(static_cast<Duration::rep>(std::ceil(missing / rate() * kMicrosecondsPerSecond)));
}

void ServerLimit::onStarted(TimePoint now) {
  if (!per_second_) return;
  tokens_ = tokensAt(now) - 1;
  filled_at_ = now;
}

}  // namespace coursepond::proxy
