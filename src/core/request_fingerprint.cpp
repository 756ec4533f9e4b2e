#include "core/request_fingerprint.h"

#include <array>
#include <cstdio>
#include <cstring>

namespace coursepond {
namespace {

/// Distinguishes the kinds of fingerprints, also from those of earlier releases.
constexpr std::string_view kHeadKind = "head";
constexpr std::string_view kWholeKind = "whole";

RequestFingerprint firstBytesOf(const Digest& digest) {
  const std::string bytes = digest.bytes();
  std::uint64_t value = 0;
  std::memcpy(&value, bytes.data(), sizeof value);
  constexpr std::uint64_t kNotEmpty = 1;
  return RequestFingerprint(value == 0 ? kNotEmpty : value);
}

}  // namespace

std::string RequestFingerprint::toHex() const {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value_));
  return text.data();
}

void RequestFingerprints::addBody(const Digest& body) {
  if (head.empty() || !whole.empty()) return;
  whole = fingerprintOfWhole(head, body);
}

RequestFingerprint fingerprintOfHead(const HeadIdentity& head) {
  std::string text(kHeadKind);
  for (const std::string_view part : {head.method, head.host, head.target, head.caller}) {
    // The length prefix distinguishes "a" + "bc" from "ab" + "c".
    text.append(std::to_string(part.size())).append(":").append(part);
  }
  return firstBytesOf(Digest::of(text));
}

RequestFingerprint fingerprintOfWhole(RequestFingerprint head, const Digest& body) {
  return firstBytesOf(Digest::of(std::string(kWholeKind) + head.toHex() + body.bytes()));
}

}  // namespace coursepond
