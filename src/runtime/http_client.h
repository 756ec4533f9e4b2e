#pragma once

/// A one-shot asynchronous HTTP/1.1 client for short answers that are received whole: reading from
/// the platform, calling the operator API, probing health. Keeps idle connections per address and
/// reuses them.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "core/error.h"
#include "core/time.h"
#include "runtime/http_message.h"

namespace coursepond::runtime {

struct HttpClientLimits {
  std::uint32_t header_bytes = 64 * 1024;
  std::uint64_t body_bytes = std::uint64_t{64} * 1024 * 1024;
  std::size_t idle_connections_per_address = 2;
  Duration idle_timeout = std::chrono::seconds(30);  ///< An idle connection is closed after this.
  /// Upper bound for receiving an answer after its first byte, even while bytes keep arriving. This
  /// is 40 times what the largest known configuration (1.3 MB) takes over 10 Mbit/s.
  Duration answer_timeout = std::chrono::seconds(40);
};

class HttpClient {
 public:
  using Callback = std::function<void(Result<HttpClientResponse>)>;

  /// `context` must outlive the client and run on one thread.
  explicit HttpClient(boost::asio::io_context& context, HttpClientLimits limits = {});
  /// Abandons requests in flight without calling their callbacks.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends one request and calls `callback` once from the io_context's thread, never from inside
  /// this call. Errors: kTimeout (no whole answer within `timeout`; with a stall limit, see
  /// HttpClientRequest, no first byte within it, or a stall), kUnavailable (no connection, or it
  /// was lost), kTooLarge (over `body_bytes` or `header_bytes`), kMalformed (not HTTP). A
  /// kept connection that turns out closed before an answer's first byte is replaced once by a
  /// new one when the method is GET or HEAD.
  void request(const Address& address, HttpClientRequest request, Duration timeout,
               Callback callback);

  /// Closes the idle connections.
  void closeIdle();

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace coursepond::runtime
