#pragma once

/// HTTP transport for the gossip about crash suspects:
///   POST /v1/crash-suspects with a message in CBOR
///     200 with the other node's message in CBOR; 400 when the request is malformed.

#include <boost/asio/io_context.hpp>
#include <string>
#include <string_view>

#include "admission/suspect_gossip.h"
#include "core/error.h"
#include "runtime/http_client.h"
#include "runtime/http_message.h"

namespace coursepond::node {

inline constexpr std::string_view kSuspectsPath = "/v1/crash-suspects";

std::string encodeSuspects(const admission::SuspectMessage& message);
/// Fails with kMalformed when the bytes are not a valid message.
Result<admission::SuspectMessage> decodeSuspects(std::string_view bytes);

/// Passes the message in `request` to `gossip` and returns its reply.
runtime::HttpResponse answerSuspects(const runtime::HttpRequest& request,
                                     admission::SuspectGossip& gossip);

class HttpSuspectPeers final : public admission::SuspectPeers {
 public:
  /// `port` is the peer port, which is the same on all nodes.
  HttpSuspectPeers(boost::asio::io_context& context, std::uint16_t port);
  void exchange(const std::string& host, const admission::SuspectMessage& message,
                Callback callback) override;

 private:
  std::uint16_t port_;
  runtime::HttpClient client_;
};

}  // namespace coursepond::node
