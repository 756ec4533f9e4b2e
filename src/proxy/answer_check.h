#pragma once

/// Whether an answer may be taken for the answer to a request.

#include <string_view>

#include "proxy/request_flow.h"

namespace coursepond::proxy {

inline bool isSuccess(int status) { return status >= 200 && status < 300; }

/// It carries the request's own id; a success is the server's own bytes and, where servers sign,
/// signed.
inline bool isProperAnswer(const AnswerHead& answer, std::string_view request_id,
                           bool expects_signature) {
  if (answer.request_id != request_id) return false;
  if (!isSuccess(answer.status)) return true;
  return !answer.is_encoded && (answer.is_signed || !expects_signature);
}

}  // namespace coursepond::proxy
