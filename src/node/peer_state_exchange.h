#pragma once

/// Tells other nodes what this one knows from the source, and asks them, over HTTP:
///   GET /v1/state?after=REVISION  200 with a CBOR state, 204 when nothing newer is known,
///                                 503 when nothing is known yet.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "core/address.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "source/peer_reader.h"

namespace coursepond::node {

class PeerStateServer {
 public:
  /// What is known; nothing before the first configuration. Called for each question.
  using StateSource = std::function<std::optional<source::SharedState>()>;

  /// kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<PeerStateServer>> create(boost::asio::io_context& context,
                                                         const Address& listen, StateSource known);
  Address address() const { return server_->address(); }

 private:
  explicit PeerStateServer(StateSource known) : known_(std::move(known)) {}
  runtime::HttpResponse answer(const runtime::HttpRequest& request);

  StateSource known_;
  std::unique_ptr<runtime::HttpServer> server_;
};

class HttpPeerStateClient final : public source::PeerStateClient {
 public:
  /// Every node listens for its peers on `port`.
  HttpPeerStateClient(boost::asio::io_context& context, std::uint16_t port)
      : port_(port), client_(context) {}
  void read(const std::string& host, Generation after, Duration timeout,
            source::PeerStateCallback callback) override;

 private:
  std::uint16_t port_;
  runtime::HttpClient client_;
};

}  // namespace coursepond::node
