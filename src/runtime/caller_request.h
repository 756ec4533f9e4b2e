#pragma once

/// Checks a caller's request head and extracts what the request flow needs.

#include <cstdint>
#include <optional>
#include <string>

#include "proxy/request_flow.h"
#include "runtime/http_parser.h"
#include "runtime/proxy_refusal.h"

namespace coursepond::runtime {

/// What forwarding a checked request needs in addition to its MessageHead.
struct CallerRequest {
  std::string request_id;
  std::string host_field;     ///< The Host header, or the authority of an absolute target.
  std::string origin_target;  ///< Path and query; "*" for OPTIONS.
  bool expects_continue = false;

  /// Clears the values but keeps the memory for the next request.
  void clear();
};

/// Generates request ids for callers that sent none.
class RequestIdSource {
 public:
  /// `prefix` must be unique to this process.
  explicit RequestIdSource(std::string prefix) : prefix_(std::move(prefix)) {}
  void appendNext(std::string& out);

 private:
  std::string prefix_;
  std::uint64_t last_number_ = 0;
};

/// Fills `request` (must be cleared) and `flow_head` (must be new), or returns why the request is
/// refused.
std::optional<RefusalReason> checkRequest(const MessageHead& head, RequestIdSource& ids,
                                          CallerRequest& request, proxy::RequestHead& flow_head);

/// Extracts what the request flow needs from an answer's head.
proxy::AnswerHead summarizeAnswer(const MessageHead& head);

}  // namespace coursepond::runtime
