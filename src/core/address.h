#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"

namespace coursepond {

/// Address on which a process listens: an IP address (never a host name) and a TCP port.
struct Address {
  std::string host;
  std::uint16_t port = 0;

  friend auto operator<=>(const Address&, const Address&) = default;
};

/// "127.0.0.1:8080", or "[::1]:8080" for IPv6.
std::string formatAddress(const Address& address);

/// Parses what `formatAddress` writes. Returns kInvalidArgument for anything else.
Result<Address> parseAddress(std::string_view text);

}  // namespace coursepond
