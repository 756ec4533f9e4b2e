#pragma once

/// What the cases of a request that crashes servers have in common: a mesh of eight machines, the
/// crashing request, which comes again every five seconds at another machine, and the count of how
/// often it reaches a server.

#include "stand_ins.h"

namespace review {

constexpr double kContact = 3.0;
/// The rule allows this many retries, sent later than `contact` after the third crash.
constexpr std::size_t kRetriesAllowed = 3;
constexpr double kPoisonInterval = 5.0;
constexpr int kPoisonRequests = 14;

/// One run of the crashing request.
struct PoisonRun {
  std::string id;
  double sent = 0;     ///< When its client sent it.
  double crashed = 0;  ///< When it crashed its server; zero: it did not.
};

class PoisonBook {
 public:
  void onSent(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    sent_[id] = now();
  }
  bool isPoison(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return sent_.contains(id);
  }
  void onRun(const std::string& id, bool crashes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back({id, sent_[id], crashes ? now() : 0});
  }

  /// Ends the case with its result.
  [[noreturn]] void judge() {
    std::vector<PoisonRun> runs;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      runs = runs_;
    }
    double third_crash = 0;
    std::size_t crashes = 0;
    std::size_t retries = 0;
    for (const PoisonRun& run : runs) {
      const bool is_late = crashes >= 3 && run.sent > third_crash + kContact;
      if (is_late) ++retries;
      if (run.crashed > 0 && ++crashes == 3) third_crash = run.crashed;
    }
    std::ostringstream result;
    result << "the request reached a server " << runs.size() << " times and crashed " << crashes
           << "; " << retries << " of these were sent later than " << kContact
           << " s after the third crash, " << kRetriesAllowed << " are allowed";
    finish(retries > kRetriesAllowed ? kExitBroken : kExitHeld, result.str());
  }

 private:
  std::mutex mutex_;
  std::map<std::string, double> sent_;
  std::vector<PoisonRun> runs_;
};

/// Adds four machines of `service`, and then four of `catalog`, where the clients are.
inline void addMachines(Mesh& mesh, const std::string& service) {
  for (const std::string zone : {"hall-a", "hall-b", "hall-c", "hall-d"}) mesh.add(zone, service);
  for (const std::string zone : {"hall-a", "hall-b", "hall-c", "hall-d"}) mesh.add(zone, "catalog");
}

}  // namespace review
