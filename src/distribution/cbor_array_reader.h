#pragma once

/// Reads the fields of a message that is encoded as a CBOR array, in order.

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "core/digest.h"

namespace coursepond::distribution {

/// A missing field or one of the wrong type reads as an empty value and makes finished() return
/// false. A decoder can thus read all fields and check for errors once at the end.
class CborArrayReader {
 public:
  /// `array` must be an array and outlive this.
  explicit CborArrayReader(const nlohmann::json& array) : array_(array) {}

  std::uint64_t number();
  std::uint64_t numberUpTo(std::uint64_t largest);
  bool flag();
  std::string text(std::size_t longest);
  /// Reads 32 bytes, or null for the empty digest.
  Digest digest();
  /// Reads a nested array of at most `longest` elements. Returns an empty array on an error.
  const nlohmann::json& array(std::size_t longest);

  /// Marks the message as invalid, for example because a nested reader found an error.
  void fail() { failed_ = true; }
  /// Returns whether every field was read and all were valid.
  bool finished() const;

 private:
  const nlohmann::json* next();

  const nlohmann::json& array_;
  std::size_t position_ = 0;
  bool failed_ = false;
};

}  // namespace coursepond::distribution
