#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>

#include "core/error.h"

namespace coursepond {

/// A SHA-256 digest. All zero means "none".
class Digest {
 public:
  static constexpr std::size_t kSize = 32;

  Digest() = default;

  /// The digest of `bytes`.
  static Digest of(std::string_view bytes);
  /// Reads 64 hexadecimal digits; kMalformed on anything else.
  static Result<Digest> fromHex(std::string_view text);
  /// Takes 32 raw bytes; kMalformed on any other length.
  static Result<Digest> fromBytes(std::string_view bytes);

  std::string toHex() const;
  /// The 32 raw bytes, as sent between peers.
  std::string bytes() const;
  bool empty() const { return *this == Digest(); }
  /// Takes as long whether they differ early, late or not at all: for digests of credentials, whose
  /// bytes nobody shall be able to guess one after the other.
  bool equalsInConstantTime(const Digest& other) const;

  friend auto operator<=>(const Digest&, const Digest&) = default;

 private:
  friend struct std::hash<Digest>;
  std::array<std::uint8_t, kSize> bytes_{};
};

}  // namespace coursepond

/// Digests are evenly distributed: their first bytes are as good a hash as any.
template <>
struct std::hash<coursepond::Digest> {
  std::size_t operator()(const coursepond::Digest& digest) const noexcept {
    std::size_t value = 0;
    std::memcpy(&value, digest.bytes_.data(), sizeof value);
    return value;
  }
};
