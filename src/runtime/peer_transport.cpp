#include "runtime/peer_transport.h"

#include <boost/asio/ip/tcp.hpp>
#include <set>
#include <unordered_map>
#include <utility>

#include "runtime/peer_connection.h"
#include "runtime/token_bucket.h"

namespace coursepond::runtime {
namespace {

using boost::asio::ip::tcp;

/// Approximate maximum number of bytes per write.
constexpr std::size_t kBatchBytes = 64UL * 1024;
/// A connection that has sent this many frames that are not a message is closed.
constexpr int kMaxMalformedFrames = 16;
/// A write without progress for this long ends the connection.
constexpr Duration kStallLimit = std::chrono::seconds(5);
/// Retry delay for peers that exceed the handshake rate. They spread their retries over this time.
constexpr Duration kDeferDelay = std::chrono::seconds(1);
/// Number of failures after which the reconnect ceiling no longer doubles.
constexpr int kBackoffDoublings = 20;
/// How often flush() checks whether the queues are empty.
constexpr Duration kFlushInterval = std::chrono::milliseconds(5);
/// Pause after a failed accept, for example because file descriptors ran out.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

}  // namespace

class PeerTransport::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(boost::asio::io_context& context, Environment& environment, PeerIdentity self,
                 const PeerSettings& settings)
      : context_(context),
        environment_(environment),
        acceptor_(context),
        self_(std::move(self)),
        settings_(settings),
        handshakes_(settings.handshakes_per_second) {}

  Result<void> listen(const Address& address);
  void start(Receiver receiver);
  void scheduleOutput(proxy::LinkScheduler& link) { link_ = &link; }
  void setAddress(const NodeId& peer, const Address& address);
  void send(const NodeId& to, const control::PeerMessage& message);
  void flush(Duration limit, std::function<void()> done);
  void close();

  const PeerIdentity& identity() const { return self_; }
  const PeerStatistics& statistics() const { return statistics_; }
  std::size_t connectionCount() const;

 private:
  enum class SessionState { kConnecting, kAwaitingHello, kAwaitingAnswer, kEstablished };

  /// One connection and the progress of its handshake.
  struct Session {
    std::shared_ptr<PeerConnection> connection;
    SessionState state = SessionState::kAwaitingHello;
    bool outbound = false;
    NodeId peer;  ///< Empty until an inbound connection has sent its hello.
    TimePoint opened;
    int malformed = 0;
    bool refused = false;  ///< To be closed once the answer is written.
  };
  using SessionPointer = std::shared_ptr<Session>;

  /// One node to which messages are sent or from which they came.
  struct Peer {
    explicit Peer(std::size_t queue_limit) : queue(queue_limit) {}
    Address address;
    Incarnation incarnation;  ///< From its last hello.
    PeerQueue queue;
    SessionPointer outbound;
    SessionPointer inbound;
    TimerId reconnect = 0;
    int failures = 0;
  };

  Peer& peerOf(const NodeId& id);
  SessionPointer openSession(tcp::socket socket, bool outbound);
  void closeSession(const SessionPointer& session);

  void accept();
  void onAccepted(tcp::socket socket);
  void connect(const NodeId& id, Peer& peer);
  void onConnected(const SessionPointer& session, bool connected);
  void onConnectFailed(const SessionPointer& session);
  void onDeferred(const SessionPointer& session, Duration retry_after);
  void scheduleReconnect(const NodeId& id, Peer& peer, Duration min_wait);
  Duration backoff(int failures);

  void onFrame(const SessionPointer& session, std::string_view payload);
  void onHello(const SessionPointer& session, std::string_view payload);
  HelloOutcome checkHello(const Hello& hello);
  void answer(const SessionPointer& session, HelloOutcome outcome);
  void acceptPeer(const SessionPointer& session, const PeerIdentity& identity);
  void onAnswer(const SessionPointer& session, std::string_view payload);
  void countOutcome(HelloOutcome outcome);
  void onMessage(const SessionPointer& session, std::string_view payload);
  void onEnd(const SessionPointer& session, ConnectionEnd reason);

  void writeNext(Peer& peer);
  void sweep();
  void sweepSession(const SessionPointer& session, TimePoint now);
  bool allWritten() const;

  boost::asio::io_context& context_;
  Environment& environment_;
  tcp::acceptor acceptor_;
  PeerIdentity self_;
  PeerSettings settings_;
  TokenBucket handshakes_;
  proxy::LinkScheduler* link_ = nullptr;  ///< Null: output is not scheduled.
  Receiver receiver_;
  PeerStatistics statistics_;
  std::unordered_map<NodeId, Peer> peers_;
  std::set<SessionPointer> sessions_;
  TimerId sweep_timer_ = 0;
  bool closed_ = false;
};

using Implementation = PeerTransport::Implementation;

Result<void> Implementation::listen(const Address& address) {
  boost::system::error_code status;
  const tcp::endpoint endpoint(boost::asio::ip::make_address(address.host, status), address.port);
  if (!status) acceptor_.open(endpoint.protocol(), status);
  if (!status) acceptor_.set_option(tcp::acceptor::reuse_address(true), status);
  if (!status) acceptor_.bind(endpoint, status);
  if (!status) acceptor_.listen(tcp::acceptor::max_listen_connections, status);
  if (status) {
    return Error{ErrorKind::kUnavailable,
                 "cannot listen on " + formatAddress(address) + ": " + status.message(),
                 "choose a free address of this machine for node.peer_listen"};
  }
  if (self_.address.port == 0) {
    self_.address = Address{address.host, acceptor_.local_endpoint().port()};
  }
  return {};
}

void Implementation::start(Receiver receiver) {
  receiver_ = std::move(receiver);
  accept();
  sweep();
}

Implementation::Peer& Implementation::peerOf(const NodeId& id) {
  return peers_.try_emplace(id, settings_.queue_limit_bytes).first->second;
}

void Implementation::setAddress(const NodeId& peer, const Address& address) {
  if (peer == self_.id) return;
  Peer& entry = peerOf(peer);
  if (entry.address == address) return;
  entry.address = address;
  entry.failures = 0;
}

void Implementation::send(const NodeId& to, const control::PeerMessage& message) {
  if (closed_ || to == self_.id) return;
  Peer& peer = peerOf(to);
  const bool reachable = peer.outbound || peer.inbound || peer.address.port != 0;
  if (!reachable) {
    ++statistics_.dropped_no_address;
    return;
  }
  const QueueOutcome outcome = peer.queue.add(
      control::encodePeerMessage(message), control::kindOf(message), stateMessageKindOf(message));
  if (outcome == QueueOutcome::kReplaced) ++statistics_.messages_replaced;
  if (outcome == QueueOutcome::kFull) ++statistics_.dropped_queue_full;
  writeNext(peer);
  const bool connected = peer.outbound || peer.inbound;
  if (!connected && peer.reconnect == 0) connect(to, peer);
}

/// Writes the next batch over the peer's connection, if there is one that is not writing.
void Implementation::writeNext(Peer& peer) {
  for (const SessionPointer& session : {peer.outbound, peer.inbound}) {
    if (!session || session->state != SessionState::kEstablished) continue;
    if (session->connection->writing() || peer.queue.empty()) return;
    session->connection->write(peer.queue.takeBatch(kBatchBytes, statistics_.sent));
    return;
  }
}

Implementation::SessionPointer Implementation::openSession(tcp::socket socket, bool outbound) {
  auto session = std::make_shared<Session>();
  session->connection =
      std::make_shared<PeerConnection>(std::move(socket), settings_.frame_limit_bytes);
  if (link_ != nullptr) session->connection->scheduleOutput(*link_);
  session->outbound = outbound;
  session->opened = environment_.now();
  const std::weak_ptr<Session> weak = session;
  const std::weak_ptr<Implementation> owner = weak_from_this();
  session->connection->setEvents(PeerConnection::Events{[owner, weak](std::string_view payload) {
                                                          const auto self = owner.lock();
                                                          const auto found = weak.lock();
                                                          if (self && found)
                                                            self->onFrame(found, payload);
                                                        },
                                                        [owner, weak] {
                                                          const auto self = owner.lock();
                                                          const auto found = weak.lock();
                                                          if (!self || !found) return;
                                                          if (found->refused) {
                                                            self->closeSession(found);
                                                          } else if (!found->peer.empty()) {
                                                            self->writeNext(
                                                                self->peerOf(found->peer));
                                                          }
                                                        },
                                                        [owner, weak](ConnectionEnd reason) {
                                                          const auto self = owner.lock();
                                                          const auto found = weak.lock();
                                                          if (self && found)
                                                            self->onEnd(found, reason);
                                                        }});
  sessions_.insert(session);
  return session;
}

void Implementation::closeSession(const SessionPointer& session) {
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization): it may be a field reset below.
  const SessionPointer kept = session;
  kept->connection->close();
  sessions_.erase(kept);
  const auto found = peers_.find(kept->peer);
  if (found == peers_.end()) return;
  if (found->second.outbound == kept) found->second.outbound.reset();
  if (found->second.inbound == kept) found->second.inbound.reset();
}

void Implementation::accept() {
  acceptor_.async_accept(
      [owner = weak_from_this()](const boost::system::error_code& status, tcp::socket socket) {
        const auto self = owner.lock();
        if (!self || status == boost::asio::error::operation_aborted) return;
        if (status) {
          self->environment_.schedule(kAcceptPause, [owner] {
            const auto again = owner.lock();
            if (again && again->acceptor_.is_open()) again->accept();
          });
          return;
        }
        self->onAccepted(std::move(socket));
        if (self->acceptor_.is_open()) self->accept();
      });
}

void Implementation::onAccepted(tcp::socket socket) {
  if (sessions_.size() >= settings_.connection_limit) {
    ++statistics_.refused_connection_limit;
    return;
  }
  openSession(std::move(socket), false)->connection->start();
}

void Implementation::connect(const NodeId& id, Peer& peer) {
  peer.outbound = openSession(tcp::socket(context_), true);
  peer.outbound->peer = id;
  peer.outbound->state = SessionState::kConnecting;
  peer.outbound->connection->connect(
      peer.address,
      [owner = weak_from_this(), weak = std::weak_ptr<Session>(peer.outbound)](bool connected) {
        const auto self = owner.lock();
        const auto session = weak.lock();
        if (self && session) self->onConnected(session, connected);
      });
}

void Implementation::onConnected(const SessionPointer& session, bool connected) {
  if (!connected) {
    onConnectFailed(session);
    return;
  }
  session->state = SessionState::kAwaitingAnswer;
  session->opened = environment_.now();
  session->connection->start();
  std::string frame;
  appendFrame(frame, encodeHello(Hello{kPeerProtocolVersion, self_}));
  statistics_.handshake_bytes_sent += frame.size();
  session->connection->write(std::move(frame));
}

/// Drops the queued messages: they would be outdated by the next attempt.
void Implementation::onConnectFailed(const SessionPointer& session) {
  ++statistics_.connect_failures;
  const NodeId id = session->peer;
  closeSession(session);
  Peer& peer = peerOf(id);
  ++peer.failures;
  if (!peer.inbound) statistics_.dropped_unreachable += peer.queue.clear();
  scheduleReconnect(id, peer, Duration::zero());
}

/// The peer is alive and asked this node to retry later, so its queued messages are kept.
void Implementation::onDeferred(const SessionPointer& session, Duration retry_after) {
  ++statistics_.handshakes_deferred_by_peer;
  const NodeId id = session->peer;
  closeSession(session);
  const Duration limit = std::clamp(retry_after, Duration::zero(), kDeferDelay);
  const auto spread = environment_.random(static_cast<std::uint64_t>(limit.count()) + 1);
  scheduleReconnect(id, peerOf(id), Duration(spread));
}

/// Messages are only queued until the timer fires. Then the node connects again if any are queued.
void Implementation::scheduleReconnect(const NodeId& id, Peer& peer, Duration min_wait) {
  if (peer.reconnect != 0) environment_.cancel(peer.reconnect);
  const Duration wait = min_wait + backoff(peer.failures);
  peer.reconnect = environment_.schedule(wait, [owner = weak_from_this(), id] {
    const auto self = owner.lock();
    if (!self) return;
    Peer& entry = self->peerOf(id);
    entry.reconnect = 0;
    const bool connected = entry.outbound || entry.inbound;
    if (!connected && !entry.queue.empty() && !self->closed_) self->connect(id, entry);
  });
}

/// Full jitter: uniform between zero and a ceiling that doubles with each failure.
Duration Implementation::backoff(int failures) {
  const int doublings = std::clamp(failures - 1, 0, kBackoffDoublings);
  const Duration ceiling =
      std::min(settings_.reconnect_max, settings_.reconnect_min * (std::int64_t{1} << doublings));
  return Duration(environment_.random(static_cast<std::uint64_t>(ceiling.count()) + 1));
}

void Implementation::onFrame(const SessionPointer& session, std::string_view payload) {
  switch (session->state) {
    case SessionState::kConnecting:
      return;
    case SessionState::kAwaitingHello:
      onHello(session, payload);
      return;
    case SessionState::kAwaitingAnswer:
      onAnswer(session, payload);
      return;
    case SessionState::kEstablished:
      onMessage(session, payload);
      return;
  }
}

void Implementation::onHello(const SessionPointer& session, std::string_view payload) {
  if (session->refused) return;
  statistics_.handshake_bytes_received += payload.size() + kFrameHeaderSize;
  const Result<Hello> hello =
      payload.size() <= kHelloLimit ? decodeHello(payload) : Error{ErrorKind::kTooLarge, "", ""};
  if (!hello) {
    ++statistics_.refused_malformed_hello;
    closeSession(session);
    return;
  }
  const HelloOutcome outcome = checkHello(*hello);
  countOutcome(outcome);
  if (outcome == HelloOutcome::kWelcome) acceptPeer(session, hello->identity);
  answer(session, outcome);
}

HelloOutcome Implementation::checkHello(const Hello& hello) {
  if (hello.protocol_version != kPeerProtocolVersion) return HelloOutcome::kWrongVersion;
  if (hello.identity.mesh != self_.mesh) return HelloOutcome::kWrongMesh;
  if (hello.identity.id == self_.id) return HelloOutcome::kWrongIdentity;
  const auto known = peers_.find(hello.identity.id);
  if (known != peers_.end() && hello.identity.incarnation < known->second.incarnation) {
    return HelloOutcome::kWrongIdentity;
  }
  return handshakes_.take(environment_.now()) ? HelloOutcome::kWelcome : HelloOutcome::kLater;
}

void Implementation::countOutcome(HelloOutcome outcome) {
  switch (outcome) {
    case HelloOutcome::kWelcome:
      ++statistics_.accepts;
      return;
    case HelloOutcome::kLater:
      ++statistics_.handshakes_deferred;
      return;
    case HelloOutcome::kWrongVersion:
      ++statistics_.refused_wrong_version;
      return;
    case HelloOutcome::kWrongMesh:
      ++statistics_.refused_wrong_mesh;
      return;
    case HelloOutcome::kWrongIdentity:
      ++statistics_.refused_wrong_identity;
      return;
  }
}

void Implementation::answer(const SessionPointer& session, HelloOutcome outcome) {
  session->refused = outcome != HelloOutcome::kWelcome;
  const Duration retry_after = outcome == HelloOutcome::kLater ? kDeferDelay : Duration::zero();
  std::string frame;
  appendFrame(frame,
              encodeHelloAnswer(HelloAnswer{kPeerProtocolVersion, outcome, retry_after, self_}));
  statistics_.handshake_bytes_sent += frame.size();
  session->connection->write(std::move(frame));
}

/// Uses an inbound connection for the peer and closes an older inbound one.
void Implementation::acceptPeer(const SessionPointer& session, const PeerIdentity& identity) {
  Peer& peer = peerOf(identity.id);
  if (identity.incarnation > peer.incarnation && peer.outbound &&
      peer.outbound->state == SessionState::kEstablished) {
    closeSession(peer.outbound);  // It leads to an earlier life of the peer.
  }
  if (peer.inbound) closeSession(peer.inbound);
  peer.incarnation = identity.incarnation;
  if (peer.address.port == 0) peer.address = identity.address;
  peer.failures = 0;
  peer.inbound = session;
  session->peer = identity.id;
  session->state = SessionState::kEstablished;
}

void Implementation::onAnswer(const SessionPointer& session, std::string_view payload) {
  statistics_.handshake_bytes_received += payload.size() + kFrameHeaderSize;
  const Result<HelloAnswer> answer = payload.size() <= kHelloLimit
                                         ? decodeHelloAnswer(payload)
                                         : Error{ErrorKind::kTooLarge, "", ""};
  if (!answer) {
    ++statistics_.refused_malformed_hello;
    onConnectFailed(session);
    return;
  }
  if (answer->outcome == HelloOutcome::kLater) {
    onDeferred(session, answer->retry_after);
    return;
  }
  const bool expected_peer =
      answer->identity.id == session->peer && answer->identity.mesh == self_.mesh;
  if (answer->outcome != HelloOutcome::kWelcome || !expected_peer) {
    countOutcome(answer->outcome == HelloOutcome::kWelcome ? HelloOutcome::kWrongIdentity
                                                           : answer->outcome);
    onConnectFailed(session);
    return;
  }
  ++statistics_.connects;
  session->state = SessionState::kEstablished;
  Peer& peer = peerOf(session->peer);
  peer.failures = 0;
  peer.incarnation = std::max(peer.incarnation, answer->identity.incarnation);
  writeNext(peer);
}

void Implementation::onMessage(const SessionPointer& session, std::string_view payload) {
  const Result<control::PeerMessage> message = control::decodePeerMessage(payload);
  if (!message) {
    ++statistics_.refused_malformed;
    if (++session->malformed >= kMaxMalformedFrames) closeSession(session);
    return;
  }
  statistics_.received.count(control::kindOf(*message), payload.size());
  receiver_(session->peer, *message);
}

void Implementation::onEnd(const SessionPointer& session, ConnectionEnd reason) {
  if (reason == ConnectionEnd::kTruncated) ++statistics_.refused_truncated;
  if (reason == ConnectionEnd::kOversized) ++statistics_.refused_oversized;
  if (session->state == SessionState::kAwaitingAnswer) {
    onConnectFailed(session);
    return;
  }
  const NodeId id = session->peer;
  closeSession(session);
  if (id.empty()) return;
  Peer& peer = peerOf(id);
  const bool connected = peer.outbound || peer.inbound;
  if (!connected && !peer.queue.empty()) scheduleReconnect(id, peer, Duration::zero());
}

/// Closes connections that are idle, stalled or too slow in their handshake.
void Implementation::sweep() {
  const TimePoint now = environment_.now();
  const std::set<SessionPointer> sessions = sessions_;
  for (const SessionPointer& session : sessions) sweepSession(session, now);
  const Duration interval =
      std::min({settings_.idle_timeout, settings_.connect_timeout, settings_.handshake_timeout}) /
      4;
  sweep_timer_ = environment_.schedule(interval, [owner = weak_from_this()] {
    if (const auto self = owner.lock()) self->sweep();
  });
}

void Implementation::sweepSession(const SessionPointer& session, TimePoint now) {
  const PeerConnection& connection = *session->connection;
  switch (session->state) {
    case SessionState::kConnecting:
      if (now - session->opened > settings_.connect_timeout) {
        onConnectFailed(session);
      }
      return;
    case SessionState::kAwaitingHello:
      if (now - session->opened <= settings_.handshake_timeout) return;
      if (!session->refused) ++statistics_.refused_handshake_timeout;
      closeSession(session);
      return;
    case SessionState::kAwaitingAnswer:
      if (now - session->opened <= settings_.handshake_timeout) return;
      onConnectFailed(session);
      return;
    case SessionState::kEstablished:
      if (connection.writing() && now - connection.writingSince() > kStallLimit) {
        ++statistics_.closed_stalled;
        statistics_.dropped_unreachable += peerOf(session->peer).queue.clear();
        closeSession(session);
      } else if (now - connection.lastActivity() > settings_.idle_timeout) {
        ++statistics_.closed_idle;
        closeSession(session);
      }
      return;
  }
}

bool Implementation::allWritten() const {
  for (const auto& [id, peer] : peers_) {
    const bool connected = peer.outbound || peer.inbound;
    if (connected && !peer.queue.empty()) return false;
  }
  for (const SessionPointer& session : sessions_) {
    if (session->connection->writing()) return false;
  }
  return true;
}

void Implementation::flush(Duration limit, std::function<void()> done) {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  if (limit <= Duration::zero() || allWritten()) {
    environment_.schedule(Duration::zero(), std::move(done));
    return;
  }
  environment_.schedule(kFlushInterval,
                        [owner = weak_from_this(), limit, done = std::move(done)]() mutable {
                          const auto self = owner.lock();
                          if (self) self->flush(limit - kFlushInterval, std::move(done));
                        });
}

void Implementation::close() {
  closed_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  environment_.cancel(sweep_timer_);
  for (auto& [id, peer] : peers_) {
    if (peer.reconnect != 0) environment_.cancel(peer.reconnect);
  }
  for (const SessionPointer& session : sessions_) session->connection->close();
  sessions_.clear();
  peers_.clear();
}

std::size_t Implementation::connectionCount() const {
  std::size_t count = 0;
  for (const SessionPointer& session : sessions_) {
    if (session->state == SessionState::kEstablished) ++count;
  }
  return count;
}

PeerTransport::PeerTransport(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

PeerTransport::~PeerTransport() { implementation_->close(); }

Result<std::unique_ptr<PeerTransport>> PeerTransport::create(boost::asio::io_context& context,
                                                             Environment& environment,
                                                             PeerIdentity self,
                                                             const Address& listen,
                                                             const PeerSettings& settings) {
  auto implementation =
      std::make_shared<Implementation>(context, environment, std::move(self), settings);
  if (const Result<void> listening = implementation->listen(listen); !listening) {
    return listening.error();
  }
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(implementation)));
}

void PeerTransport::start(Receiver receiver) { implementation_->start(std::move(receiver)); }

void PeerTransport::scheduleOutput(proxy::LinkScheduler& link) {
  implementation_->scheduleOutput(link);
}
void PeerTransport::setAddress(const NodeId& peer, const Address& address) {
  implementation_->setAddress(peer, address);
}

void PeerTransport::send(const NodeId& to, const control::PeerMessage& message) {
  implementation_->send(to, message);
}

void PeerTransport::flush(Duration limit, std::function<void()> done) {
  implementation_->flush(limit, std::move(done));
}

const PeerIdentity& PeerTransport::identity() const { return implementation_->identity(); }

const PeerStatistics& PeerTransport::statistics() const { return implementation_->statistics(); }

std::size_t PeerTransport::connectionCount() const { return implementation_->connectionCount(); }

}  // namespace coursepond::runtime
