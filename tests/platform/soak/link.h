#pragma once

/// The network link of one machine. It forwards TCP connections between the machine and all others
/// and can inject delay, a bandwidth limit, silence and resets. All connections of a machine share
/// its bandwidth.

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/address.h"
#include "core/time.h"

namespace coursepond::soak {

/// Direction of traffic as seen from the machine.
enum class Direction { kIn, kOut };

/// Side that opens the connections which a forwarder accepts.
enum class Opener { kMachine, kOthers };

class Link {
 public:
  /// `context` must outlive the link and run on a single thread.
  explicit Link(boost::asio::io_context& context) : context_(context) {}
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  /// Forwards connections from `listen` to `target`. Throws boost::system::system_error if the
  /// address cannot be bound.
  void forward(const Address& listen, const Address& target, Opener opener);
  /// While the link is closed, connections from other machines are refused, as by a machine on
  /// which no process listens.
  void setOpen(bool is_open);

  void setDelay(Duration one_way);
  /// Sets the bandwidth in bytes per second for each direction; 0 means unlimited.
  void setRate(std::uint64_t bytes_per_second);
  /// While a direction is silent, data in that direction is buffered and not delivered.
  void setSilent(Direction direction, bool is_silent);
  /// Resets all connections.
  void reset();

 private:
  class Forwarder;
  class Session;
  class Pump;

  /// State shared by all pumps of one direction.
  struct DirectionState {
    Duration delay{};
    std::uint64_t rate = 0;
    bool is_silent = false;
    TimePoint busy_until;  ///< Time at which all bytes read so far have been transmitted.
  };

  DirectionState& state(Direction direction) {
    return directions_[static_cast<std::size_t>(direction)];
  }
  TimePoint scheduleTransfer(Direction direction, std::size_t bytes, TimePoint now);

  boost::asio::io_context& context_;
  std::array<DirectionState, 2> directions_;
  std::vector<std::shared_ptr<Forwarder>> forwarders_;
  std::vector<std::weak_ptr<Session>> sessions_;
};

}  // namespace coursepond::soak
