#pragma once

/// The body of a stand-in's answer. It is derived from the request id alone, so that a client can
/// detect an answer that belongs to another request, is truncated or is corrupted.

#include <cstddef>
#include <string>
#include <string_view>

namespace coursepond::standin {

/// Returns `size` printable characters derived from the request id.
std::string makeAnswerBody(std::string_view request_id, std::size_t size);

/// Result of comparing a received body with the expected one.
enum class AnswerBodyCheck {
  kRight,
  kShort,    ///< A proper prefix of the expected body.
  kForeign,  ///< Neither the expected body nor a prefix of it.
};

AnswerBodyCheck checkAnswerBody(std::string_view request_id, std::size_t size,
                                std::string_view body);

}  // namespace coursepond::standin
