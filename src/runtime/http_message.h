#pragma once

/// Complete HTTP messages as plain values, for the small HTTP server and the one-shot client. The
/// data path (proxy_server.h) never holds a whole message.

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/address.h"
#include "core/time.h"
#include "proxy/request_flow.h"

namespace coursepond::runtime {

using HeaderField = proxy::HeaderField;
using HeaderFields = std::vector<HeaderField>;

/// Returns the value of the first field called `name` (compared without case), if there is one.
std::optional<std::string_view> findHeader(const HeaderFields& headers, std::string_view name);

/// A request as the small HTTP server received it.
struct HttpRequest {
  std::string method;  ///< Upper case, as sent.
  std::string target;  ///< Path and query, as sent.
  HeaderFields headers;
  std::string body;
  Address remote;  ///< The caller.

  /// Returns the target without its query.
  std::string_view path() const;
  /// Returns the query without its question mark; empty when there is none.
  std::string_view query() const;
};

/// An answer of the small HTTP server, which sets Content-Length, Connection and Date itself.
struct HttpResponse {
  int status = 200;
  std::string content_type = "text/plain; charset=utf-8";
  HeaderFields headers;
  std::string body;
};

/// A request for the one-shot client, which sets Host and Content-Length itself.
struct HttpClientRequest {
  std::string method = "GET";
  std::string target = "/";
  HeaderFields headers;
  std::string body;
  /// If set, the request's timeout limits only the wait for the first byte of the answer, and this
  /// limits each later wait for bytes. Meant for answers that may be large: their duration depends
  /// on the link, and an answer that still makes progress is not abandoned.
  std::optional<Duration> stall_limit = std::nullopt;
  /// With a stall limit: upper bound for receiving the answer after its first byte. If not set, the
  /// client's own limit (HttpClientLimits) applies.
  std::optional<Duration> answer_timeout = std::nullopt;
  /// Replaces HttpClientLimits::body_bytes. An answer that announces more is aborted at its header.
  std::optional<std::uint64_t> body_bytes = std::nullopt;
  /// Called when the first bytes of the answer arrive.
  std::function<void()> on_first_bytes = nullptr;
};

/// An answer that the one-shot client received completely.
struct HttpClientResponse {
  int status = 0;
  HeaderFields headers;
  std::string body;
  /// From the answer's first bytes until it was whole. Zero without a stall limit.
  Duration receive_time{};
};

}  // namespace coursepond::runtime
