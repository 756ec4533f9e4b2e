#pragma once

/// Remembers which parents did not answer. The reads of both topics share it: the reads of the
/// servers wait for a shorter time, so they find a silent parent first, and a read of the
/// configuration that waits at the same parent then continues elsewhere.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/environment.h"
#include "core/error.h"
#include "core/time.h"

namespace coursepond::source {

class SilentParents {
 public:
  using Listener = std::function<void(const std::string& host, const Error& error)>;

  /// `environment` must outlive this object.
  explicit SilentParents(const Environment& environment) : environment_(environment) {}

  /// Adds a listener that is called when a parent is found silent.
  void subscribe(Listener listener) { listeners_.push_back(std::move(listener)); }
  /// Notes that `host` did not answer a request of the time `asked`, so that it is not asked for
  /// `avoid`. Has no effect if the host has answered another request since.
  void add(const std::string& host, TimePoint asked, Duration avoid, const Error& error);
  /// Notes that `host` answered.
  void remove(const std::string& host);
  /// Forgets all hosts other than `hosts`.
  void retain(const std::vector<std::string>& hosts);

  bool isAvoided(const std::string& host) const;
  /// Returns whether `host` has not answered since it was found silent.
  bool isUnproven(const std::string& host) const { return avoided_until_.contains(host); }

 private:
  const Environment& environment_;
  std::map<std::string, TimePoint> avoided_until_;  ///< Keyed by host.
  std::map<std::string, TimePoint> last_answers_;   ///< Keyed by host.
  std::vector<Listener> listeners_;
};

}  // namespace coursepond::source
