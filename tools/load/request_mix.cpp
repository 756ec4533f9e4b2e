#include "request_mix.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <utility>

namespace coursepond::load {

namespace {

constexpr std::string_view kSizeParameter = "size=";

Error malformedKind(std::string_view text) {
  return {ErrorKind::kInvalidArgument, "malformed request kind: '" + std::string(text) + "'",
          "write \"WEIGHT METHOD HOST TARGET [once]\", such as \"3 GET freight.example /x\""};
}

bool isRepeatable(std::string_view method) {
  constexpr std::array<std::string_view, 5> kRepeatable{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
  return std::find(kRepeatable.begin(), kRepeatable.end(), method) != kRepeatable.end();
}

/// Returns the position of the value of `size=` in the target's query, or npos.
std::size_t findSize(std::string_view target) {
  const std::size_t query = target.find('?');
  if (query == std::string_view::npos) return query;
  for (std::size_t at = target.find(kSizeParameter, query); at != std::string_view::npos;
       at = target.find(kSizeParameter, at + 1)) {
    if (target[at - 1] == '?' || target[at - 1] == '&') return at + kSizeParameter.size();
  }
  return std::string_view::npos;
}

void appendSize(std::string& target, std::size_t size) {
  target += target.find('?') == std::string::npos ? '?' : '&';
  target += kSizeParameter;
  target += std::to_string(size);
}

/// The output function of SplitMix64, which maps consecutive numbers to evenly distributed values.
std::uint64_t mixBits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

Result<RequestKind> parseRequestKind(std::string_view text, std::size_t default_answer_bytes) {
  std::istringstream words{std::string(text)};
  RequestKind kind;
  if (!(words >> kind.weight >> kind.method >> kind.host >> kind.target)) {
    return malformedKind(text);
  }
  if (kind.target[0] != '/') return malformedKind(text);
  kind.repeatable = isRepeatable(kind.method);
  std::string mark;
  if (words >> mark) {
    if (mark != "once") return malformedKind(text);
    kind.repeatable = false;
  }
  if (findSize(kind.target) == std::string::npos) appendSize(kind.target, default_answer_bytes);
  const char* size = kind.target.data() + findSize(kind.target);
  const char* end = kind.target.data() + kind.target.size();
  if (std::from_chars(size, end, kind.answer_bytes).ec != std::errc()) return malformedKind(text);
  return kind;
}

RequestMix::RequestMix(std::vector<RequestKind> kinds) : kinds_(std::move(kinds)) {
  for (const RequestKind& kind : kinds_) total_weight_ += kind.weight;
}

const RequestKind& RequestMix::kindOf(std::uint64_t number) const {
  std::uint64_t point = mixBits(number) % total_weight_;
  for (const RequestKind& kind : kinds_) {
    if (point < kind.weight) return kind;
    point -= kind.weight;
  }
  return kinds_.back();
}

}  // namespace coursepond::load
