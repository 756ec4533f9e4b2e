#pragma once

/// Model of a server that is shared by several nodes that do not know of each other's requests.

#include <functional>
#include <memory>
#include <vector>

#include "proxy/request_flow.h"
#include "random_source.h"
#include "virtual_time.h"

namespace coursepond::data_path {

enum class ReportKind {
  kHonest,      ///< Fraction of the slots that are busy at the time of the answer.
  kLagging,     ///< Up to one second out of date.
  kAlwaysIdle,  ///< Always reports no load.
  kAlwaysFull,  ///< Always reports full load.
};

/// Properties of a server. They may change during a run.
struct ServerShape {
  std::uint32_t slots = 10;
  std::uint32_t taken_slots = 0;  ///< Slots used by traffic outside the experiment.
  Duration min_service_time = std::chrono::milliseconds(5);
  /// Mean of the exponentially distributed time beyond `min_service_time`.
  Duration mean_extra_time = std::chrono::milliseconds(5);
  double slowness = 1;      ///< Factor on the service time.
  double lost_answers = 0;  ///< Fraction of the answers that are lost after the work is done.
  ReportKind report = ReportKind::kHonest;
};

/// Result of a request: the head of the answer, or a lost connection.
struct ServerReply {
  bool lost = false;
  proxy::AnswerHead head;
};

/// Runs one request per slot and immediately refuses the others as not run.
class SharedServer {
 public:
  using Reply = std::function<void(const ServerReply&)>;
  /// Cancels the request and frees its slot. Does nothing after the reply.
  using Cancel = std::function<void()>;

  SharedServer(simulation::VirtualTime& time, std::uint64_t seed);

  ServerShape& shape() { return shape_; }
  /// Runs or refuses the request. Unless cancelled, `reply` is called exactly once, after run() has
  /// returned.
  Cancel run(Reply reply);

  std::uint64_t ran() const { return ran_; }
  std::uint64_t refused() const { return refused_; }

 private:
  struct Work {
    bool open = true;
  };

  void finish(const std::shared_ptr<Work>& work, const Reply& reply);
  Duration serviceTime();
  double reportedLoad();

  simulation::VirtualTime& time_;
  simulation::RandomSource random_;
  ServerShape shape_;
  std::uint32_t busy_ = 0;
  double lagging_load_ = 0;
  TimePoint lagging_since_;
  std::uint64_t ran_ = 0;
  std::uint64_t refused_ = 0;
};

using Servers = std::vector<std::unique_ptr<SharedServer>>;

}  // namespace coursepond::data_path
