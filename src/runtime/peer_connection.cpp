#include "runtime/peer_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace coursepond::runtime {
namespace {

/// TCP closes the connection when sent bytes stay unacknowledged for this long. This detects a
/// network failure before the system's default limit of several minutes.
constexpr unsigned kUnacknowledgedLimitMs = 5000;

void setOptions(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const unsigned limit = kUnacknowledgedLimitMs;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

}  // namespace

PeerConnection::PeerConnection(boost::asio::ip::tcp::socket socket, std::size_t frame_limit)
    : socket_(std::move(socket)), decoder_(frame_limit), last_activity_(BootClock::now()) {
  if (socket_.is_open()) setOptions(socket_);
}

void PeerConnection::connect(const Address& address, std::function<void(bool)> done) {
  boost::system::error_code status;
  const auto host = boost::asio::ip::make_address(address.host, status);
  const boost::asio::ip::tcp::endpoint endpoint(host, address.port);
  socket_.async_connect(endpoint, [self = shared_from_this(), done = std::move(done)](
                                      const boost::system::error_code& result) {
    if (self->closed_) return;
    if (!result) setOptions(self->socket_);
    self->last_activity_ = BootClock::now();
    done(!result);
  });
}

void PeerConnection::start() { read(); }

void PeerConnection::read() {
  const FrameSpace space = decoder_.prepare();
  socket_.async_read_some(
      boost::asio::buffer(space.data, space.size),
      [self = shared_from_this()](const boost::system::error_code& status, std::size_t size) {
        if (self->closed_) return;
        if (status) {
          self->end(self->decoder_.insideFrame() ? ConnectionEnd::kTruncated
                                                 : ConnectionEnd::kClosed);
          return;
        }
        self->last_activity_ = BootClock::now();
        self->decoder_.commit(size);
        if (self->deliverFrames()) self->read();
      });
}

bool PeerConnection::deliverFrames() {
  while (!closed_) {
    const Result<std::optional<std::string_view>> frame = decoder_.next();
    if (!frame) {
      end(ConnectionEnd::kOversized);
      return false;
    }
    if (!frame->has_value()) return true;
    events_.onFrame(**frame);
  }
  return false;
}

void PeerConnection::write(std::string frames) {
  if (link_ != nullptr && link_->isLarge(frames.size())) return writeInTurns(std::move(frames));
  if (link_ != nullptr) link_->onSmallSent(frames.size());
  output_ = std::move(frames);
  written_bytes_ = 0;
  writing_ = true;
  writeSome();
}

void PeerConnection::writeInTurns(std::string frames) {
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  if (!link_writer_) {
    link_writer_ = std::make_shared<LinkWriter<boost::asio::ip::tcp::socket>>(socket_, *link_);
  }
  writing_ = true;
  const auto on_wait = [self = shared_from_this()](bool waits_for_peer) {
    self->awaits_turn_ = !waits_for_peer;
    self->writing_since_ = self->last_activity_ = BootClock::now();
  };
  const auto on_done = [self = shared_from_this()](const boost::system::error_code& status) {
    self->awaits_turn_ = false;
    self->last_activity_ = BootClock::now();
    self->onWritten(status);
  };
  link_writer_->write(std::move(frames), TimePoint::min(), {on_wait, on_done});
}

void PeerConnection::writeSome() {
  writing_since_ = BootClock::now();
  socket_.async_write_some(
      boost::asio::buffer(output_) + written_bytes_,
      [self = shared_from_this()](const boost::system::error_code& status, std::size_t size) {
        self->onWroteSome(status, size);
      });
}

void PeerConnection::onWroteSome(const boost::system::error_code& status, std::size_t size) {
  written_bytes_ += size;
  if (size > 0) last_activity_ = BootClock::now();
  const bool has_more = written_bytes_ < output_.size();
  if (has_more && !status && !closed_) return writeSome();
  onWritten(status);
}

void PeerConnection::onWritten(const boost::system::error_code& status) {
  writing_ = false;
  std::string().swap(output_);
  if (closed_) return;
  if (status) return end(ConnectionEnd::kClosed);
  events_.onWritten();
}

void PeerConnection::close() {
  if (closed_) return;
  closed_ = true;
  const std::shared_ptr<PeerConnection> self = shared_from_this();  // May be held by the writer.
  if (link_writer_) link_writer_->cancel();
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
}

void PeerConnection::end(ConnectionEnd reason) {
  close();
  const Events events = std::move(events_);
  events_ = Events();
  if (events.onEnd) events.onEnd(reason);
}

}  // namespace coursepond::runtime
