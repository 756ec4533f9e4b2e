#include "proxy/outlier_detector.h"

#include <algorithm>

namespace coursepond::proxy {
namespace {

/// Weight of one answer in the failure rate, which averages over about 20 answers.
constexpr double kSampleWeight = 0.05;
/// Minimum number of answers before the failure rate is significant.
constexpr std::uint32_t kMinAnswers = 20;
constexpr std::uint32_t kMaxDoublings = 16;
/// The jitter is at most the length of the ejection divided by this.
constexpr Duration::rep kJitterDivisor = 10;

}  // namespace

void OutlierDetector::onSuccess(OutlierRecord& record, TimePoint now) const {
  record.consecutive_failures = 0;
  record.connect_failures = 0;
  ++record.answers;
  record.failure_rate.decay(now, 0.0, OutlierRecord::kFailureHalfLife);
  record.failure_rate.add(0.0, kSampleWeight, now);
  const bool is_reset = now - record.ejected_until >= settings_.ejection_reset_time;
  if (record.ejections > 0 && is_reset) record.ejections = 0;
}

bool OutlierDetector::onFailure(OutlierRecord& record, TimePoint now) const {
  ++record.consecutive_failures;
  ++record.answers;
  record.failure_rate.decay(now, 0.0, OutlierRecord::kFailureHalfLife);
  record.failure_rate.add(1.0, kSampleWeight, now);
  const bool fails_always = record.consecutive_failures >= settings_.consecutive_failures;
  const bool fails_often =
      record.answers >= kMinAnswers && record.failure_rate.valueOr(0) >= settings_.failure_rate;
  return fails_always || fails_often;
}

bool OutlierDetector::isOutlier(const OutlierRecord& record, double peer_failure_rate,
                                TimePoint now) const {
  if (acceptsNoConnections(record)) return true;
  const double rate = record.failureRate(now);
  if (rate < settings_.peer_factor * peer_failure_rate) return false;
  const bool is_on_probation =
      record.ejections > 0 && record.answers < settings_.consecutive_failures;
  return is_on_probation || rate >= settings_.peer_margin + peer_failure_rate;
}

bool OutlierDetector::mayEject(const OutlierRecord& record, std::size_t ejected,
                               std::size_t usable) const {
  if (ejected + 1 >= usable) return false;
  if (acceptsNoConnections(record)) return true;
  const auto allowed =
      static_cast<std::size_t>(settings_.largest_ejected_part * static_cast<double>(usable));
  return ejected + 1 <= allowed;
}

void OutlierDetector::eject(OutlierRecord& record, TimePoint now) const {
  const std::uint32_t doublings = std::min(record.ejections, kMaxDoublings);
  const Duration length =
      std::min(settings_.base_ejection * (1 << doublings), settings_.longest_ejection);
  const auto jitter_bound = static_cast<std::uint64_t>(length.count() / kJitterDivisor + 1);
  const auto jitter = static_cast<Duration::rep>(environment_.random(jitter_bound));
  record.ejected_until = now + length + Duration(jitter);
  ++record.ejections;
  record.answers = 0;
  // The server is on probation when it returns: its first failure ejects it again. The failure rate
  // is kept for this check and for the comparison with its peers, and decays with time.
  record.consecutive_failures = settings_.consecutive_failures - 1;
  if (record.connect_failures > 0) record.connect_failures = record.consecutive_failures;
}

}  // namespace coursepond::proxy
