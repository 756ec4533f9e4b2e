#pragma once

/// Internal to the ProxyServer: the body of one request as it passes through. Keeps its first bytes
/// for another attempt, and computes its digest.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/digest.h"

namespace coursepond::runtime {

/// How a ProxyServer treats the bodies of its requests.
struct RequestBodySettings {
  std::size_t replay_bytes = 0;  ///< Longer bodies are not kept for another attempt.
  /// Compute the digests of longer bodies as well, although they are not kept.
  bool digests_unkept = false;
};

class RequestBody {
 public:
  explicit RequestBody(const RequestBodySettings& settings) : settings_(settings) {}

  void add(std::string_view piece);
  /// Returns the bytes so far; empty if they are not kept.
  const std::string& bytes() const { return bytes_; }
  bool isKept() const { return is_kept_; }
  std::uint64_t received() const { return received_; }
  /// Returns the digest of the bytes so far, or nothing if it is not known.
  std::optional<Digest> digest() const;
  /// Starts the next body.
  void clear();

 private:
  void drop();

  RequestBodySettings settings_;
  std::string bytes_;
  std::uint64_t received_ = 0;
  bool is_kept_ = true;
  std::optional<DigestBuilder> unkept_digest_;
};

}  // namespace coursepond::runtime
