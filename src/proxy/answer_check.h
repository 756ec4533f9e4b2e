#pragma once

/// Checks that an answer belongs to a request.

#include <string_view>

#include "proxy/request_flow.h"

namespace coursepond::proxy {

inline bool isSuccess(int status) { return status >= 200 && status < 300; }

/// Returns whether the answer carries the request's id and, if it is a success, has no content
/// encoding and is signed where servers sign their answers.
inline bool isProperAnswer(const AnswerHead& answer, std::string_view request_id,
                           bool expects_signature) {
  if (answer.request_id != request_id) return false;
  if (!isSuccess(answer.status)) return true;
  return !answer.is_encoded && (answer.is_signed || !expects_signature);
}

}  // namespace coursepond::proxy
