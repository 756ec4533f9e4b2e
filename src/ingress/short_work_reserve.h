#pragma once

/// Keeps a part of the server's slots free for work with a short target, on slots that it shares
/// with long work.
///
/// Work of 94 ms with a target of 300 ms arrives at slots that are held for 590 ms each. If long
/// work takes every free slot, the short work waits for a slot for a good part of its target,
/// whatever its place in the queue. One or two slots that long work leaves free are enough: they
/// only have to last until the next slot becomes free.

#include <cstdint>
#include <map>
#include <utility>

#include "core/time.h"

namespace coursepond::ingress {

struct ShortWorkSettings {
  /// Work is long for another kind if it holds a slot for more than this share of the target
  /// latency of that kind, which would miss its target after such a wait and its own work.
  double held_share = 0.5;
  /// Work of a kind is short beside work that takes at least this many times as long.
  double length_ratio = 2;
  /// Nothing is kept if fewer short requests than this arrive in the time of one long run. A kept
  /// slot costs up to one long run in that time, so several short requests must gain by it.
  double min_arrivals = 4;
  /// Largest share of the slots that is kept: two of 18, none of eight. Zero: none.
  double max_share = 0.12;
  /// Interval at which requests that wait although a slot is kept free are considered again.
  Duration check_interval = std::chrono::milliseconds(50);
  /// Half-life of the arrival rates.
  Duration rate_half_life = std::chrono::seconds(2);
};

/// A kind of requests, as far as it is known here.
struct WorkKind {
  Duration target{};       ///< Target latency.
  std::uint32_t rank = 0;  ///< The lowest is the most urgent.
  Duration service{};      ///< Mean service time at the usual speed of the server.
};

class ShortWorkReserve {
 public:
  /// Called when a request of this kind arrived.
  void onArrival(const ShortWorkSettings& settings, const WorkKind& arrived, TimePoint now);

  /// Returns how many free slots a request of the kind `held` must leave to others: as many as
  /// requests of the short kinds arrive until one of `slots` slots that are held by its kind
  /// becomes free. A kind is short beside `held` if its target and its work are shorter, as the
  /// settings say, and it is at least as urgent by rank. It counts only if a request of it has
  /// arrived within the service time of `held`.
  std::uint32_t keptFrom(const ShortWorkSettings& settings, const WorkKind& held,
                         std::uint32_t slots, TimePoint now) const;

 private:
  /// Upper bound for the number of kinds, which come from the configured routes. Arrivals of
  /// further kinds are ignored.
  static constexpr std::size_t kMaxKinds = 64;

  struct Arrivals {
    WorkKind kind;
    double recent = 0;  ///< Number of recent arrivals, which decays, as of `last`.
    TimePoint last;
  };

  std::map<std::pair<Duration, std::uint32_t>, Arrivals> kinds_;  ///< By target latency and rank.
};

}  // namespace coursepond::ingress
