#pragma once

/// Checks the observed behavior against the promises of the system. It only uses what clients, back
/// ends and the store observe, never the state of a node.

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger.h"
#include "machine.h"
#include "support/server_notices.h"
#include "trouble_book.h"
#include "version_book.h"

namespace coursepond::soak {

/// Components in the fault log that do not belong to a machine.
inline constexpr char kStoreComponent[] = "store";
inline constexpr char kSoakComponent[] = "soak";

struct Violation {
  std::string kind;
  std::string description;
};

/// Counts for the report.
struct CheckCounts {
  std::uint64_t requests = 0;
  std::uint64_t in_touch = 0;  ///< Requests sent to machines in touch.
  std::uint64_t in_touch_served = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;  ///< Requests with status 502 or 504.
  std::uint64_t cut = 0;
  std::uint64_t not_found = 0;
  std::uint64_t on_new_routes = 0;    ///< Checked against the bound of a new version, in touch.
  std::uint64_t by_stop = 0;          ///< Requests in flight while their node was stopping.
  std::uint64_t crashes = 0;          ///< Servers that crashed from crashing requests.
  std::uint64_t crashers_judged = 0;  ///< Crashing requests that crashed three or more servers.
  std::uint64_t limits_judged = 0;    ///< Arrivals at servers that reported a limit.
  std::uint64_t leavings_judged = 0;  ///< Requests sent after their machine was told of a leaving.
  std::uint64_t gone_judged = 0;      ///< Arrivals of requests that their clients had given up.
  std::uint64_t stops_judged = 0;  ///< Requests in flight during a stop and without another fault.
};

class PromiseChecker {
 public:
  using Machines = std::vector<std::unique_ptr<Machine>>;

  PromiseChecker(const Bounds& bounds, const Ledger& ledger, const VersionHistory& versions,
                 const FaultLog& faults, const Machines& machines, TimePoint origin)
      : bounds_(bounds),
        ledger_(ledger),
        versions_(versions),
        faults_(faults),
        machines_(machines),
        origin_(origin),
        notices_({.contact = bounds.contact, .drain = bounds.drain}) {}

  /// Sets the callback for each violation that is found.
  void onViolation(std::function<void(const Violation&)> callback) {
    on_violation_ = std::move(callback);
  }
  void report(const std::string& kind, const std::string& description);

  /// Returns true if the machine, the store and the soak had no fault for `contact` before `when`,
  /// so that all promises apply to the machine.
  bool isInTouch(const std::string& machine, TimePoint when) const;

  /// Called when a server has read a request. `request` is null if no client sent this id.
  void onArrival(const Machine& machine, const std::string& instance, const std::string& id,
                 const Request* request, TimePoint now);
  /// Called when the crashing request with this number crashed a server.
  void onCrash(std::uint64_t crasher, TimePoint now) { crashers_[crasher].crashes.push_back(now); }
  /// Called when a request has ended. It is checked later, when its back end has recorded the end.
  void onEnd(const Request& request);
  /// Called when a server reports another limit from now on; empty: none.
  void onLimit(const std::string& instance, std::optional<double> per_second, TimePoint now) {
    notices_.setLimit(instance, per_second, now);
  }
  /// Called when a node process starts, is paused or goes on.
  void onNodeDisturbed(const std::string& machine) { notices_.excuse(machine); }
  void onLinkFault(const std::string& machine, bool begins, TimePoint now);
  /// Checks the requests that ended long enough ago.
  void checkEnded(TimePoint now);
  /// Runs the checks that need all requests. Called at the end of the soak.
  void checkAll();

  const std::vector<Violation>& violations() const { return violations_; }
  const CheckCounts& counts() const { return counts_; }

 private:
  /// A version whose effect was seen on a node process.
  struct SeenVersion {
    TimePoint when;
    std::size_t version = 0;
  };
  /// A request that crashes servers.
  struct Crasher {
    std::vector<TimePoint> crashes;  ///< Times of the server crashes.
    std::size_t late_arrivals = 0;
  };
  /// Machine name and incarnation.
  using NodeProcess = std::pair<std::string, std::uint32_t>;

  /// Faults of a machine's link, which also delay requests on the way to its server.
  struct LinkFaults {
    int active = 0;
    TimePoint ended;
  };

  void checkRoute(const Machine& machine, const std::string& instance, const Request& request);
  void checkNotFound(const Request& request);
  void checkNotices(const Machine& machine, const std::string& instance, const Request& request,
                    TimePoint now);
  void checkClientGone(const Machine& machine, const std::string& instance, const Request& request,
                       TimePoint now);
  bool hasLinkFault(const std::string& machine, TimePoint now) const;
  void checkCrasher(const Request& request, const std::string& instance, TimePoint now);
  void check(const Request& request);
  void count(const Request& request);
  void checkVersion(const Request& request);
  void checkStop(const Request& request);
  void checkFailure(const Request& request);
  void checkHeld(const Request& request);
  void checkUnserved(const Request& request);

  /// Returns the versions that may have been in force on the node when it handled the request.
  VersionSpan possibleVersions(const Request& request, bool with_seen) const;
  void recordSeenVersion(const Request& request, std::size_t version);
  std::size_t newestSeenBefore(const Request& request) const;

  const Machine& machineOf(const std::string& name) const;
  bool isUndisturbed(const std::string& machine, TimePoint from, TimePoint to) const;
  bool isEverythingFaultFree(TimePoint from, TimePoint to) const;
  bool areServersFaultFree(const Request& request) const;
  bool hasServerInTouch(const std::string& service, TimePoint from, TimePoint to) const;
  /// Formats the time since the start of the soak, as in its event log.
  std::string formatTime(TimePoint when) const;
  std::string describeRequest(const Request& request, const std::string& what) const;

  Bounds bounds_;
  const Ledger& ledger_;
  const VersionHistory& versions_;
  const FaultLog& faults_;
  const Machines& machines_;
  TimePoint origin_;
  std::function<void(const Violation&)> on_violation_;
  std::deque<const Request*> ended_;
  std::map<NodeProcess, std::vector<SeenVersion>> seen_;
  /// Consecutive unserved requests by machine.
  std::map<std::string, std::vector<const Request*>> unserved_;
  std::map<std::uint64_t, Crasher> crashers_;
  testing::ServerNotices notices_;
  std::size_t arrivals_of_gone_ = 0;  ///< Requests that arrived too late after their client left.
  std::map<std::string, LinkFaults> link_faults_;  ///< By machine.
  std::vector<Violation> violations_;
  CheckCounts counts_;
};

}  // namespace coursepond::soak
