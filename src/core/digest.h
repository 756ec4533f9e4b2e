#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/error.h"

struct evp_md_ctx_st;  // OpenSSL's EVP_MD_CTX.

namespace coursepond {

/// A SHA-256 digest. All bytes zero means "no digest".
class Digest {
 public:
  static constexpr std::size_t kSize = 32;

  Digest() = default;

  /// Returns the digest of `bytes`.
  static Digest of(std::string_view bytes);
  /// Parses 64 hexadecimal digits. Returns kMalformed for anything else.
  static Result<Digest> fromHex(std::string_view text);
  /// Takes 32 raw bytes. Returns kMalformed for any other length.
  static Result<Digest> fromBytes(std::string_view bytes);

  std::string toHex() const;
  /// Returns the 32 raw bytes, as sent between peers.
  std::string bytes() const;
  bool empty() const { return *this == Digest(); }
  /// Compares in constant time. Used for digests of credentials, so that a timing attack cannot
  /// guess them byte by byte.
  bool equalsInConstantTime(const Digest& other) const;

  friend auto operator<=>(const Digest&, const Digest&) = default;

 private:
  friend class DigestBuilder;
  friend struct std::hash<Digest>;
  std::array<std::uint8_t, kSize> bytes_{};
};

/// Computes the SHA-256 digest of bytes that arrive in pieces.
class DigestBuilder {
 public:
  DigestBuilder();
  void add(std::string_view piece);
  /// Returns the digest of all pieces so far. More may follow.
  Digest digest() const;

 private:
  struct ContextDeleter {
    void operator()(evp_md_ctx_st* context) const;
  };
  std::unique_ptr<evp_md_ctx_st, ContextDeleter> context_;
};

}  // namespace coursepond

/// Uses the first bytes as the hash, because digests are uniformly distributed.
template <>
struct std::hash<coursepond::Digest> {
  std::size_t operator()(const coursepond::Digest& digest) const noexcept {
    std::size_t value = 0;
    std::memcpy(&value, digest.bytes_.data(), sizeof value);
    return value;
  }
};
