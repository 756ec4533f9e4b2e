#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace coursepond::proxy {

/// Limits the number of connections from this node to one server: an even share of the server's
/// limit, and fewer for a while after the server refused a connection, because other nodes have
/// more than their share open.
class ConnectionShare {
 public:
  /// Time after a refusal in which the limit recovers by one connection.
  static constexpr Duration kRecoveryInterval = std::chrono::milliseconds(500);

  /// Returns the even share: the `connections` of one server divided by `nodes`, at least 1.
  static std::uint32_t evenPart(std::uint32_t connections, std::size_t nodes) {
    const std::size_t part = connections / std::max<std::size_t>(nodes, 1);
    return static_cast<std::uint32_t>(std::max<std::size_t>(part, 1));
  }

  /// Called when a connection was refused while `open` other connections were open.
  void onRefused(std::uint32_t open, TimePoint now) {
    limited_ = true;
    cap_ = std::max<std::uint32_t>(open, 1);
    refused_at_ = now;
  }

  /// Returns the maximum number of connections that this node may have open now.
  std::uint32_t value(std::uint32_t even_part, TimePoint now) const {
    if (!limited_) return even_part;
    const auto recovered = static_cast<std::uint64_t>((now - refused_at_) / kRecoveryInterval);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(cap_ + recovered, even_part));
  }

 private:
  bool limited_ = false;
  std::uint32_t cap_ = 0;
  TimePoint refused_at_;
};

}  // namespace coursepond::proxy
