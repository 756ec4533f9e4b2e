#pragma once

/// Serves the timeouts of many connections with one timer. Setting a deadline is a plain store,
/// because each request on the data path moves its connection's deadline several times. Expiry is
/// detected up to one tick late.

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <vector>

#include "core/time.h"
#include "runtime/boot_timer.h"

namespace coursepond::runtime {

class DeadlineWatch;

/// An object that may have a deadline. Belongs to one DeadlineWatch for its whole lifetime.
class Watched {
 public:
  Watched(const Watched&) = delete;
  Watched& operator=(const Watched&) = delete;

 protected:
  explicit Watched(std::shared_ptr<DeadlineWatch> watch);
  virtual ~Watched();

  void expireAt(TimePoint deadline) { deadline_ = deadline; }
  void expireAfter(Duration delay) { deadline_ = BootClock::now() + delay; }
  void expireNever() { deadline_ = TimePoint::max(); }

 private:
  friend class DeadlineWatch;
  /// Called once for each deadline that has passed.
  virtual void onDeadline() = 0;

  std::shared_ptr<DeadlineWatch> watch_;
  std::size_t index_ = 0;
  TimePoint deadline_ = TimePoint::max();
};

class DeadlineWatch : public std::enable_shared_from_this<DeadlineWatch> {
 public:
  /// `context` must outlive the watch.
  DeadlineWatch(boost::asio::io_context& context, Duration tick);
  ~DeadlineWatch();
  DeadlineWatch(const DeadlineWatch&) = delete;
  DeadlineWatch& operator=(const DeadlineWatch&) = delete;

 private:
  friend class Watched;
  void add(Watched& watched);
  void remove(Watched& watched);
  void arm();
  void onTick();

  BootTimer timer_;
  Duration tick_;
  bool armed_ = false;
  std::vector<Watched*> watched_;
};

}  // namespace coursepond::runtime
