#pragma once

/// Holds what was seen against what is promised. Sees clients, back ends and the store only.

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger.h"
#include "machine.h"
#include "trouble_book.h"
#include "version_book.h"

namespace coursepond::soak {

/// The places of troubles that are no machine's.
inline constexpr char kStorePlace[] = "store";
inline constexpr char kSoakPlace[] = "soak";

struct Violation {
  std::string kind;
  std::string story;
};

/// What was counted besides, for the report.
struct JudgeCounts {
  std::uint64_t requests = 0;
  std::uint64_t in_touch = 0;  ///< Sent to machines in touch.
  std::uint64_t in_touch_served = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;  ///< 502 and 504.
  std::uint64_t cut = 0;
  std::uint64_t not_found = 0;
  std::uint64_t on_new_routes = 0;    ///< Judged by a version's bound, in touch.
  std::uint64_t by_stop = 0;          ///< Under way while their node was stopping.
  std::uint64_t crashes = 0;          ///< Servers that ended under crashing requests.
  std::uint64_t crashers_judged = 0;  ///< Those of them that crashed three or more.
  std::uint64_t stops_judged = 0;     ///< Under way in a stop that no other trouble excuses.
};

class Judge {
 public:
  using Machines = std::vector<std::unique_ptr<Machine>>;

  Judge(const Bounds& bounds, const Ledger& ledger, const VersionBook& versions,
        const TroubleBook& troubles, const Machines& machines, TimePoint origin)
      : bounds_(bounds),
        ledger_(ledger),
        versions_(versions),
        troubles_(troubles),
        machines_(machines),
        origin_(origin) {}

  /// Told of each violation as it is found.
  void onViolation(std::function<void(const Violation&)> callback) {
    on_violation_ = std::move(callback);
  }
  void report(const std::string& kind, const std::string& story);

  /// Whether all that is promised of the machine holds at `when`.
  bool isInTouch(const std::string& machine, TimePoint when) const;

  /// A request was read by a server. `machine` is null when nobody sent a request of that id.
  void onArrival(const Machine& machine, const std::string& instance, const std::string& id,
                 const Request* request, TimePoint now);
  /// A request of that number crashed a server.
  void onCrash(std::uint64_t crasher, TimePoint now) { crashers_[crasher].ends.push_back(now); }
  /// A request has ended: it is judged once what belongs to it has been seen.
  void onEnd(const Request& request) { ended_.push_back(&request); }
  /// Judges what ended long enough ago.
  void judgeEnded(TimePoint now);
  /// At the soak's end: what can be told of all requests only now.
  void judgeAll();

  const std::vector<Violation>& violations() const { return violations_; }
  const JudgeCounts& counts() const { return counts_; }

 private:
  /// What a life of a process was seen to hold.
  struct SeenVersion {
    TimePoint when;
    std::size_t version = 0;
  };
  /// A request that crashes servers.
  struct Crasher {
    std::vector<TimePoint> ends;  ///< Of servers.
    std::size_t late_arrivals = 0;
  };
  using Life = std::pair<std::string, std::uint32_t>;

  void judgeCrasher(const Request& request, const std::string& instance, TimePoint now);
  void judge(const Request& request);
  void count(const Request& request);
  void judgeVersion(const Request& request);
  void judgeStop(const Request& request);
  void judgeFailure(const Request& request);
  void judgeHeld(const Request& request);
  void judgeUnserved(const Request& request);

  /// The versions that may have been in force on the node as it handled the request.
  VersionSpan possible(const Request& request, bool with_seen) const;
  void noteSeen(const Request& request, std::size_t version);
  std::size_t seenBefore(const Request& request) const;

  const Machine& machineOf(const std::string& name) const;
  bool isQuietFor(const std::string& machine, TimePoint from, TimePoint to) const;
  bool isEverythingQuiet(TimePoint from, TimePoint to) const;
  bool areServersQuiet(const Request& request) const;
  bool hasServerInTouch(const std::string& service, TimePoint from, TimePoint to) const;
  /// Since the soak's start, as in its event log.
  std::string clock(TimePoint when) const;
  std::string story(const Request& request, const std::string& what) const;

  Bounds bounds_;
  const Ledger& ledger_;
  const VersionBook& versions_;
  const TroubleBook& troubles_;
  const Machines& machines_;
  TimePoint origin_;
  std::function<void(const Violation&)> on_violation_;
  std::deque<const Request*> ended_;
  std::map<Life, std::vector<SeenVersion>> seen_;
  std::map<std::string, std::vector<const Request*>> unserved_;  ///< By machine, in a row.
  std::map<std::uint64_t, Crasher> crashers_;
  std::vector<Violation> violations_;
  JudgeCounts counts_;
};

}  // namespace coursepond::soak
