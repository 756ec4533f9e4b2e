#pragma once

/// Header names of the platform and query parameters that the clients and back ends of the soak
/// use.

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace coursepond::soak::wire {

inline constexpr char kHost[] = "soak.example";
inline constexpr char kRequestId[] = "Coursepond-Request-Id";
inline constexpr char kDeadline[] = "Coursepond-Deadline-Ms";
inline constexpr char kNotRun[] = "Coursepond-Not-Executed";
inline constexpr char kSignature[] = "Coursepond-Response-Signature";
inline constexpr char kTargetInstance[] = "Coursepond-Target-Instance";
inline constexpr char kInstance[] = "Coursepond-Instance-Id";

inline constexpr char kServerLimit[] = "Server-Limit";
inline constexpr char kServerLeaving[] = "Server-Leaving";

/// Returns the number after "name=" in the query, or 0 if there is none.
inline std::uint64_t numberIn(std::string_view query, std::string_view name) {
  const std::size_t start = query.find(std::string(name) + "=");
  if (start == std::string_view::npos) return 0;
  const std::string_view text = query.substr(start + name.size() + 1);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace coursepond::soak::wire
