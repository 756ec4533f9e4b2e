#include "proxy/server_limit.h"

#include <utility>

namespace coursepond::proxy {

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
      return setLimit(report.per_second);
    case LimitReport::Kind::kNone:
      break;
  }
  const bool may_lift = source == AnswerSource::kRun && sent > reported_at_;
  if (!per_second_ || !may_lift) return LimitChange::kNone;
  per_second_.reset();
  return LimitChange::kLifted;
}

LimitChange ServerLimit::setLimit(double per_second) {
  const std::optional<double> before = std::exchange(per_second_, per_second);
  if (!before) return LimitChange::kNamed;
  return *before == per_second ? LimitChange::kNone : LimitChange::kChanged;
}

}  // namespace coursepond::proxy
