#pragma once

/// HTTP requests and replies of the stand-ins as plain data, independent of Beast.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coursepond::standin {

/// One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// A complete request. The target is split into path and query at the first '?'.
struct HttpRequest {
  std::string method;
  std::string path;
  std::string query;
  std::vector<HttpHeader> headers;
  std::string body;

  /// Returns the value of the first header with that name (case-insensitive), or an empty string.
  std::string_view header(std::string_view name) const;
  /// Returns the value of `name=value` in the query, or an empty string. Nothing is
  /// percent-decoded.
  std::string_view parameter(std::string_view name) const;
};

/// Fault that is injected while a reply is sent.
enum class BodyFault {
  kNone,
  kCut,    ///< The connection is closed after `fault_after` bytes of the body.
  kStall,  ///< Nothing more is sent after `fault_after` bytes of the body.
};

/// A complete reply and how to send it.
struct HttpReply {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  bool chunked = false;  ///< Use chunked transfer coding instead of Content-Length.
  bool close = false;    ///< Close the connection after the reply.
  BodyFault fault = BodyFault::kNone;
  std::size_t fault_after = 0;  ///< In bytes.
};

/// Returns a reply with the given JSON text as its body.
HttpReply jsonReply(int status, std::string json);

/// A request that waits for its reply. Used only on the thread of its server.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& request() const = 0;
  /// Sends the reply. Has no effect after the first call or once the client has disconnected.
  virtual void reply(HttpReply reply) = 0;
  /// Closes the connection without a reply.
  virtual void abort() = 0;
  /// Sets a callback that is called once if the client closes its connection before the reply.
  virtual void onDisconnect(std::function<void()> callback) = 0;
};

}  // namespace coursepond::standin
