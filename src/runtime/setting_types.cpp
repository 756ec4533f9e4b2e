#include "runtime/setting_types.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <charconv>

namespace coursepond::runtime {
namespace {

constexpr std::size_t kNameLimit = 64;

Error refusal(std::string message, std::string remedy) {
  return Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy)};
}

}  // namespace

std::string quoted(const std::string& text) {
  std::string result = "\"";
  for (const char character : text) {
    if (character == '"' || character == '\\') result += '\\';
    result += character;
  }
  return result + "\"";
}

std::string formatDecimal(double number) {
  std::array<char, 32> text{};
  const auto result = std::to_chars(text.data(), text.data() + text.size(), number);
  return {text.data(), result.ptr};
}

std::string formatList(const std::vector<std::string>& elements) {
  std::string text;
  for (const std::string& element : elements) text += (text.empty() ? "" : ", ") + element;
  return "[" + text + "]";
}

std::optional<Error> checkName(const std::string& text) {
  const bool all_valid = std::all_of(text.begin(), text.end(), [](unsigned char character) {
    return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.';
  });
  if (!text.empty() && text.size() <= kNameLimit && all_valid) return std::nullopt;
  return refusal(quoted(text) + " is not a name",
                 "use 1 to 64 of the characters a-z, A-Z, 0-9, '-', '_' and '.'");
}

std::optional<Error> checkHeaderName(const std::string& text) {
  const bool valid = text.size() <= 64 && std::all_of(text.begin(), text.end(), [](char letter) {
                       return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
                              letter == '-' || letter == '_';
                     });
  if (valid) return std::nullopt;
  return Error{ErrorKind::kInvalidArgument, "'" + text + "' is not a header name",
               "write up to 64 letters, digits, '-' and '_'"};
}

std::optional<Error> checkPath(const std::string& text) {
  const bool visible = std::all_of(text.begin(), text.end(),
                                   [](char letter) { return letter > ' ' && letter < '\x7f'; });
  if (text.starts_with('/') && visible) return std::nullopt;
  return Error{ErrorKind::kInvalidArgument, "'" + text + "' is not a path",
               "write a path that starts with a slash, for example /readyz"};
}

std::optional<Error> checkRange(std::int64_t value, const Range& range) {
  if (value >= range.lowest && value <= range.highest) return std::nullopt;
  const bool too_low = value < range.lowest;
  return refusal(std::to_string(value) + (too_low ? " is too low" : " is too high"),
                 too_low ? "write at least " + std::to_string(range.lowest)
                         : "write at most " + std::to_string(range.highest));
}

std::string describeRange(const Range& range, const std::string& unit) {
  return "a whole number" + unit + " from " + std::to_string(range.lowest) + " to " +
         std::to_string(range.highest);
}

Result<Address> readAddress(const std::string& text, AddressUse use) {
  Result<Address> address = parseAddress(text);
  if (!address) return address;
  boost::system::error_code status;
  boost::asio::ip::make_address(address->host, status);
  if (status) {
    return refusal("'" + address->host + "' is not an IP address",
                   "write the machine's IP address; host names are not resolved");
  }
  if (address->port == 0 && use != AddressUse::kListen) {
    return refusal("port 0 cannot be reached", "write the port the other side listens on");
  }
  return address;
}

Result<model::ListedNode> readSeed(const std::string& text) {
  const std::size_t slash = text.find('/');
  const std::size_t at = text.find('@');
  if (slash == std::string::npos || at == std::string::npos || at < slash) {
    return refusal(quoted(text) + " is not a seed",
                   "write ZONE/ID@IP:PORT, for example \"a/a1@10.0.0.7:7946\"");
  }
  const std::string zone = text.substr(0, slash);
  const std::string id = text.substr(slash + 1, at - slash - 1);
  for (const std::string& name : {zone, id}) {
    if (std::optional<Error> error = checkName(name)) return *error;
  }
  const Result<Address> address = readAddress(text.substr(at + 1), AddressUse::kConnect);
  if (!address) return address.error();
  return model::ListedNode{NodeId(id), ZoneId(zone), *address, model::MachineState::kLive};
}

std::string formatSeed(const model::ListedNode& seed) {
  return seed.zone.value() + "/" + seed.id.value() + "@" + formatAddress(seed.peer_address);
}

}  // namespace coursepond::runtime
