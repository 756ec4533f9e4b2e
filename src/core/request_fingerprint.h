#pragma once

/// What makes two requests the same to a server, so that what one did to a server can be told of
/// the other, whatever id it has and whichever node it comes through.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace coursepond {

/// The first bytes of a SHA-256 digest: neither paths nor keys nor bodies can be read from it.
class RequestFingerprint {
 public:
  RequestFingerprint() = default;
  explicit RequestFingerprint(std::uint64_t value) : value_(value) {}

  std::uint64_t value() const { return value_; }
  /// Nothing is known of the request.
  bool empty() const { return value_ == 0; }
  /// 16 hexadecimal digits.
  std::string toHex() const;

  friend auto operator<=>(const RequestFingerprint&, const RequestFingerprint&) = default;

 private:
  std::uint64_t value_ = 0;
};

/// One end of one server, named at random by the node beside it.
using ServerEndId = std::uint64_t;

/// What a server may tell requests apart by. Ids, deadlines and other headers are left out: each
/// try of a caller has its own.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  std::string_view target;  ///< With the query.
  std::string_view caller;  ///< The digest of its API key; empty: it has none.
  std::string_view body;    ///< Its first part, where it is long.
};

RequestFingerprint fingerprintOf(const RequestIdentity& identity);

}  // namespace coursepond

template <>
struct std::hash<coursepond::RequestFingerprint> {
  std::size_t operator()(const coursepond::RequestFingerprint& fingerprint) const noexcept {
    return fingerprint.value();
  }
};
