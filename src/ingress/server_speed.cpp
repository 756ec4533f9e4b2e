#include "ingress/server_speed.h"

#include "core/time_arithmetic.h"

namespace coursepond::ingress {
namespace {

constexpr double kUsual = 1;
constexpr double kUnknown = 0;

Duration microseconds(double count) { return Duration(static_cast<Duration::rep>(count)); }

}  // namespace

void ServerSpeed::onReport(double slowness, TimePoint now) {
  is_reported_ = true;
  reported_.add(slowness, 1.0, now);
}

void ServerSpeed::onAnswered(const ServerSpeedSettings& settings, Duration target,
                             Duration service_time, TimePoint now) {
  if (!is_reported_) return;
  const auto service_us = static_cast<double>(service_time.count());
  const double now_slow = slowness(settings, now);
  service_us_.add(target, service_us, settings.sample_weight);
  slownesses_.add(target, now_slow, settings.sample_weight);
  if (!mean_) mean_ = Average{service_us, now_slow};
  mean_->service_us += settings.sample_weight * (service_us - mean_->service_us);
  mean_->slowness += settings.sample_weight * (now_slow - mean_->slowness);
}

double ServerSpeed::slowness(const ServerSpeedSettings& settings, TimePoint now) const {
  return reported_.value(now, kUsual, settings.half_life);
}

std::optional<Duration> ServerSpeed::usualService(Duration target) const {
  const double slowness = slownesses_.valueOr(target, kUnknown);
  if (slowness <= 0) return std::nullopt;
  return microseconds(service_us_.valueOr(target, kUnknown) / slowness);
}

std::optional<Duration> ServerSpeed::expectedService(const ServerSpeedSettings& settings,
                                                     Duration target, TimePoint now) const {
  const std::optional<Duration> usual = usualService(target);
  if (!usual) return std::nullopt;
  return fractionOf(*usual, slowness(settings, now));
}

std::optional<Duration> ServerSpeed::expectedMean(const ServerSpeedSettings& settings,
                                                  TimePoint now) const {
  if (!mean_) return std::nullopt;
  return microseconds(mean_->service_us / mean_->slowness * slowness(settings, now));
}

}  // namespace coursepond::ingress
