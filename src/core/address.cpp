#include "core/address.h"

#include <charconv>

namespace coursepond {
namespace {

Error badAddress(std::string_view text) {
  return Error{ErrorKind::kInvalidArgument, "'" + std::string(text) + "' is not an address",
               "write IP:port, for example 127.0.0.1:8080 or [::1]:8080"};
}

}  // namespace

std::string formatAddress(const Address& address) {
  const bool is_ipv6 = address.host.find(':') != std::string::npos;
  const std::string host = is_ipv6 ? "[" + address.host + "]" : address.host;
  return host + ":" + std::to_string(address.port);
}

Result<Address> parseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return badAddress(text);

  std::string_view host = text.substr(0, colon);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  if (!bracketed && host.find(':') != std::string_view::npos) return badAddress(text);

  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, status] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (status != std::errc() || end != port_text.data() + port_text.size()) return badAddress(text);
  return Address{std::string(host), port};
}

}  // namespace coursepond
