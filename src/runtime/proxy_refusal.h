#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "runtime/http_parser.h"

namespace coursepond::runtime {

/// Why a caller's request was refused because of its form, independently of routing. The order is
/// that of ProxyServerStatistics::refusals.
enum class RefusalReason : std::uint8_t {
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kAmbiguousLength,
  kUnsupportedCoding,
  kUnsupportedVersion,
  kUnsupportedMethod,
  kBadHost,
  kBadTarget,
  kBadRequestId,
  kBadDeadline,
  kBadPriority,
  kBadExpectation,
  kSlowHead,
  kSlowBody,
};
inline constexpr std::size_t kRefusalReasonCount = 15;

/// Counts by reason; index with static_cast<std::size_t>(reason).
using RefusalCounts = std::array<std::uint64_t, kRefusalReasonCount>;

/// Returns the HTTP status of the refusal.
int statusOf(RefusalReason reason);
/// Returns the stable word for X-Reason and metrics, for example "ambiguous_length".
std::string_view reasonName(RefusalReason reason);
/// Returns the refusal for a parse failure. `failure` must not be kNone.
RefusalReason refusalOf(ParseFailure failure);

}  // namespace coursepond::runtime
