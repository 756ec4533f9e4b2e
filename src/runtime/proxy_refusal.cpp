#include "runtime/proxy_refusal.h"

namespace coursepond::runtime {
namespace {

struct RefusalEntry {
  int status;
  std::string_view word;
};

constexpr std::array<RefusalEntry, kRefusalReasonCount> kRefusals{{
    {400, "malformed_request"},
    {431, "head_too_large"},
    {413, "body_too_large"},
    {400, "ambiguous_length"},
    {501, "unsupported_coding"},
    {505, "unsupported_version"},
    {501, "unsupported_method"},
    {400, "bad_host"},
    {400, "bad_target"},
    {400, "bad_request_id"},
    {400, "bad_deadline"},
    {400, "bad_priority"},
    {417, "bad_expectation"},
    {408, "slow_head"},
    {408, "slow_body"},
}};

const RefusalEntry& entryOf(RefusalReason reason) {
  return kRefusals[static_cast<std::size_t>(reason)];
}

}  // namespace

int statusOf(RefusalReason reason) { return entryOf(reason).status; }

std::string_view reasonName(RefusalReason reason) { return entryOf(reason).word; }

RefusalReason refusalOf(ParseFailure failure) {
  switch (failure) {
    case ParseFailure::kHeadTooLarge:
      return RefusalReason::kHeadTooLarge;
    case ParseFailure::kBodyTooLarge:
      return RefusalReason::kBodyTooLarge;
    case ParseFailure::kAmbiguousLength:
      return RefusalReason::kAmbiguousLength;
    case ParseFailure::kUnsupportedCoding:
      return RefusalReason::kUnsupportedCoding;
    case ParseFailure::kUnsupportedVersion:
      return RefusalReason::kUnsupportedVersion;
    case ParseFailure::kNone:
    case ParseFailure::kMalformed:
      break;
  }
  return RefusalReason::kMalformed;
}

}  // namespace coursepond::runtime
