#pragma once

/// Internal to the ProxyServer: the body of one request as it passes through. Keeps its first bytes
/// for another attempt, holds more of it until the request is identified, and computes its digest.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/digest.h"

namespace coursepond::runtime {

/// Limits the memory of all bodies of one ProxyServer that are held together.
class HeldBodyBudget {
 public:
  explicit HeldBodyBudget(std::size_t limit) : limit_(limit) {}

  bool isExhausted() const { return held_ >= limit_; }
  void add(std::size_t bytes) { held_ += bytes; }
  void release(std::size_t bytes) { held_ -= bytes; }
  std::size_t held() const { return held_; }

 private:
  std::size_t limit_;
  std::size_t held_ = 0;
};

/// How a ProxyServer treats the bodies of its requests.
struct RequestBodySettings {
  std::size_t replay_bytes = 0;  ///< Longer bodies are not kept for another attempt.
  /// Compute the digests of longer bodies as well, although they are not kept.
  bool digests_unkept = false;
  std::size_t max_held_bytes = 0;  ///< Of one body.
};

class RequestBody {
 public:
  RequestBody(const RequestBodySettings& settings, std::shared_ptr<HeldBodyBudget> budget)
      : settings_(settings), budget_(std::move(budget)) {}
  ~RequestBody() { release(); }
  RequestBody(const RequestBody&) = delete;
  RequestBody& operator=(const RequestBody&) = delete;

  void add(std::string_view piece);
  /// Keeps bytes beyond the replay limit as well until endHold(). Pieces should not be added any
  /// more once mayHoldMore() is false.
  void beginHold();
  void endHold() { is_held_ = false; }
  /// Returns whether more bytes may be held: neither limit is reached, and none have been dropped.
  bool mayHoldMore() const;
  /// Returns the bytes so far; empty if they are not kept.
  const std::string& bytes() const { return bytes_; }
  bool isKept() const { return is_kept_; }
  std::uint64_t received() const { return received_; }
  /// Returns the digest of the bytes so far, or nothing if it is not known.
  std::optional<Digest> digest() const;
  /// Notes that the rest of the body is discarded, so that its digest is not known.
  void discardRest() {
    drop();
    unkept_digest_.reset();
  }
  /// Starts the next body.
  void clear();

 private:
  void drop();
  void release() { budget_->release(std::exchange(held_bytes_, 0)); }

  RequestBodySettings settings_;
  std::shared_ptr<HeldBodyBudget> budget_;
  std::string bytes_;
  std::uint64_t received_ = 0;
  std::size_t held_bytes_ = 0;  ///< Counted in `budget_`.
  bool is_held_ = false;
  bool is_kept_ = true;
  std::optional<DigestBuilder> unkept_digest_;
};

}  // namespace coursepond::runtime
