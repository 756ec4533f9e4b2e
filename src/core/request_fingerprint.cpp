#include "core/request_fingerprint.h"

#include <array>
#include <cstdio>
#include <cstring>

#include "core/digest.h"

namespace coursepond {

std::string RequestFingerprint::toHex() const {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value_));
  return text.data();
}

RequestFingerprint fingerprintOf(const RequestIdentity& identity) {
  std::string text;
  text.reserve(identity.target.size() + identity.host.size() + identity.body.size() + 64);
  for (const std::string_view part :
       {identity.method, identity.host, identity.target, identity.caller, identity.body}) {
    // The length prefix distinguishes "a" + "bc" from "ab" + "c".
    text.append(std::to_string(part.size())).append(":").append(part);
  }
  const std::string digest = Digest::of(text).bytes();
  std::uint64_t value = 0;
  std::memcpy(&value, digest.data(), sizeof value);
  constexpr std::uint64_t kNotEmpty = 1;
  return RequestFingerprint(value == 0 ? kNotEmpty : value);
}

}  // namespace coursepond
