#pragma once

/// Messages between nodes over TCP. Connects when there is something to send, and answers over
/// the connection a peer opened. See docs/design/PEER-TRANSPORT.md.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "control/peer_message.h"
#include "core/environment.h"
#include "runtime/peer_hello.h"
#include "runtime/peer_queue.h"
#include "runtime/settings.h"

namespace coursepond::runtime {

/// Counters for /metrics. Never reset.
struct PeerStatistics {
  KindTraffic sent;
  KindTraffic received;
  std::uint64_t handshake_bytes_sent = 0;
  std::uint64_t handshake_bytes_received = 0;
  std::uint64_t connects = 0;  ///< Connections that this node opened, with a completed handshake.
  std::uint64_t connect_failures = 0;  ///< Unreachable, refused, or no handshake in time.
  std::uint64_t accepts = 0;  ///< Connections that peers opened, with a completed handshake.
  std::uint64_t handshakes_deferred = 0;  ///< Handshakes that this node answered with "later".
  std::uint64_t handshakes_deferred_by_peer = 0;  ///< Handshakes that a peer answered with "later".
  std::uint64_t closed_idle = 0;
  std::uint64_t closed_stalled = 0;  ///< A write made no progress.
  std::uint64_t messages_replaced = 0;
  std::uint64_t dropped_queue_full = 0;
  /// Messages queued for a peer that could not be connected.
  std::uint64_t dropped_unreachable = 0;
  std::uint64_t dropped_no_address = 0;
  std::uint64_t refused_connection_limit = 0;
  std::uint64_t refused_handshake_timeout = 0;
  std::uint64_t refused_malformed_hello = 0;
  std::uint64_t refused_wrong_version = 0;
  std::uint64_t refused_wrong_mesh = 0;
  std::uint64_t refused_wrong_identity = 0;
  std::uint64_t refused_malformed = 0;  ///< Frames that are not a message.
  std::uint64_t refused_oversized = 0;  ///< Frames larger than the limit.
  std::uint64_t refused_truncated = 0;  ///< Connections that ended inside a frame.
};

class PeerTransport final : public MessageSender<control::PeerMessage> {
 public:
  using Receiver = std::function<void(const NodeId& from, const control::PeerMessage& message)>;

  /// Listens on `listen` (port 0: any free port). If the port of `self.address` is 0, the address
  /// listened on replaces it. Nothing is accepted before start(). Fails with kUnavailable when the
  /// address cannot be bound. `context` and `environment` must outlive the transport.
  static Result<std::unique_ptr<PeerTransport>> create(boost::asio::io_context& context,
                                                       Environment& environment, PeerIdentity self,
                                                       const Address& listen,
                                                       const PeerSettings& settings);
  /// Closes all connections immediately.
  ~PeerTransport() override;
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Starts to accept connections. `receiver` is called from the io_context.
  void start(Receiver receiver);

  /// Sends large messages in turns of `link`, which must outlive the transport. Call before
  /// start().
  void scheduleOutput(proxy::LinkScheduler& link);

  /// Sets the address at which a peer can be reached. Replaces the known one.
  void setAddress(const NodeId& peer, const Address& address);

  /// Queues the message and connects if necessary. Never blocks.
  void send(const NodeId& to, const control::PeerMessage& message) override;

  /// Stops accepting, and calls `done` once all queues have been written or `limit` has passed.
  void flush(Duration limit, std::function<void()> done);

  /// The identity that this node sends to peers, with the port that was bound.
  const PeerIdentity& identity() const;
  const PeerStatistics& statistics() const;
  /// Number of connections with a completed handshake.
  std::size_t connectionCount() const;

  /// Internal to peer_transport.cpp.
  class Implementation;

 private:
  explicit PeerTransport(std::shared_ptr<Implementation> implementation);
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace coursepond::runtime
