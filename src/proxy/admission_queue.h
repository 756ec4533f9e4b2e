#pragma once

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <optional>

#include "core/time.h"
#include "proxy/balancer.h"
#include "proxy/reason.h"
#include "proxy/server_state.h"

namespace coursepond::proxy {

/// A request that needs a slot on a server of its service.
class Waiter : public boost::intrusive::list_base_hook<> {
 public:
  explicit Waiter(model::Priority priority) : priority_(priority) {}
  virtual ~Waiter() = default;
  Waiter(const Waiter&) = delete;
  Waiter& operator=(const Waiter&) = delete;

  /// Called when a slot on `server` was taken for this request, which must release it.
  virtual void onServerAssigned(const ServerPointer& server, TimePoint now) = 0;
  /// Called when the request was removed from the queue without getting a slot.
  virtual void onWaitEnded(Reason reason, TimePoint now) = 0;

  model::Priority priority() const { return priority_; }
  const TriedServers& tried() const { return tried_; }

 protected:
  void setPriority(model::Priority priority) { priority_ = priority; }
  void addTried(const ServerState& server) { tried_.push_back(&server); }

 private:
  model::Priority priority_;
  TriedServers tried_;
};

/// Whether a request may join the queue.
struct QueueEntry {
  bool admitted = false;
  Reason refusal = Reason::kQueueFull;  ///< When not admitted.
  Waiter* displaced = nullptr;  ///< A batch request that was removed from the queue to make room.
};

/// The bounded queue of one service on one node: first in, first out within each priority. Batch
/// requests may only fill a part of it and are displaced by interactive requests. While both are
/// waiting, one batch request is served after every `interactive_weight` interactive ones, so that
/// batch requests are slowed down but never starve. All operations are O(1) and do not allocate.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(const AdmissionSettings& settings) : settings_(settings) {}

  void setLimit(std::size_t limit) { limit_ = limit; }

  /// Appends the waiter if there is room for it.
  QueueEntry enter(Waiter& waiter);
  /// Puts a request that was admitted before at the front of the queue, even if the queue is full.
  void reenter(Waiter& waiter);
  /// Removes the waiter from any position. Does nothing if it is not in the queue.
  void leave(Waiter& waiter);

  /// Returns the priority to serve next. Only meaningful if the queue is not empty.
  model::Priority nextPriority() const;
  /// Returns the first waiter of a priority, or null.
  Waiter* front(model::Priority priority);
  /// Removes the first waiter of a priority and counts it as served.
  void serveFront(model::Priority priority);

  bool empty() const { return interactive_.empty() && batch_.empty(); }
  std::size_t size() const { return interactive_.size() + batch_.size(); }
  std::size_t size(model::Priority priority) const { return list(priority).size(); }

  /// Returns the number of requests that would be served before one that joins now.
  double expectedAhead(model::Priority priority) const;

 private:
  using List = boost::intrusive::list<Waiter>;
  List& list(model::Priority priority) {
    return priority == model::Priority::kBatch ? batch_ : interactive_;
  }
  const List& list(model::Priority priority) const {
    return priority == model::Priority::kBatch ? batch_ : interactive_;
  }

  const AdmissionSettings& settings_;
  std::size_t limit_ = 0;
  List interactive_;
  List batch_;
  std::uint32_t interactive_in_a_row_ = 0;
};

}  // namespace coursepond::proxy
