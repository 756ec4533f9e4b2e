#include "link.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <string>
#include <utility>

namespace coursepond::soak {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
/// Maximum bytes in flight per connection and direction. Corresponds to the TCP window of a small
/// machine.
constexpr std::size_t kWindowBytes = 64 * 1024;

TimePoint clockNow() { return BootClock::now(); }

Tcp::endpoint endpointOf(const Address& address) {
  return {asio::ip::make_address(address.host), address.port};
}

/// Closes the socket so that the peer sees a reset. An error means that it is already closed.
void closeWithReset(Tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

// ---- One direction of a connection

/// Copies bytes from one socket to the other with the delay, rate and silence of its direction.
class Link::Pump : public std::enable_shared_from_this<Link::Pump> {
 public:
  Pump(Link& link, std::shared_ptr<Session> session, Direction direction, Tcp::socket& from,
       Tcp::socket& to)
      : link_(link),
        session_(std::move(session)),
        direction_(direction),
        from_(from),
        to_(to),
        timer_(link.context_) {}

  void start() { read(); }
  void wake() { writeNext(); }

 private:
  enum class End { kNone, kOrderly, kReset };
  struct Chunk {
    TimePoint due;
    std::string bytes;
    End end = End::kNone;
  };

  void read();
  void onRead(const error_code& status, std::size_t bytes);
  void writeNext();
  void onWritten(const error_code& status);
  void forwardEnd(End end);

  Link& link_;
  std::shared_ptr<Session> session_;
  Direction direction_;
  Tcp::socket& from_;
  Tcp::socket& to_;
  asio::steady_timer timer_;
  std::array<char, kReadBytes> buffer_{};
  std::deque<Chunk> queue_;
  std::size_t queued_bytes_ = 0;
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool has_ended_ = false;
};

class Link::Session : public std::enable_shared_from_this<Link::Session> {
 public:
  Session(Link& link, Tcp::socket opener, Opener who)
      : link_(link), opener_(std::move(opener)), target_(link.context_), opened_by_(who) {}

  void start(const Address& target) {
    target_.async_connect(endpointOf(target),
                          [self = shared_from_this()](const error_code& status) {
                            if (status) return self->reset();
                            self->pump();
                          });
  }

  /// Called by each pump whose source has closed its connection in an orderly way.
  void onPumpDone() {
    if (++pumps_done_ < 2) return;
    error_code ignored;
    opener_.close(ignored);
    target_.close(ignored);
    forward_.reset();
    backward_.reset();
  }

  void reset() {
    closeWithReset(opener_);
    closeWithReset(target_);
    forward_.reset();
    backward_.reset();
  }

  void wake() {
    // Keeps both pumps alive because one of them may end the session while it runs.
    const std::shared_ptr<Pump> forward = forward_;
    const std::shared_ptr<Pump> backward = backward_;
    if (forward) forward->wake();
    if (backward) backward->wake();
  }

 private:
  void pump() {
    error_code ignored;
    opener_.set_option(Tcp::no_delay(true), ignored);
    target_.set_option(Tcp::no_delay(true), ignored);
    const bool from_machine = opened_by_ == Opener::kMachine;
    const Direction ahead = from_machine ? Direction::kOut : Direction::kIn;
    const Direction back = from_machine ? Direction::kIn : Direction::kOut;
    forward_ = std::make_shared<Pump>(link_, shared_from_this(), ahead, opener_, target_);
    backward_ = std::make_shared<Pump>(link_, shared_from_this(), back, target_, opener_);
    forward_->start();
    backward_->start();
  }

  Link& link_;
  Tcp::socket opener_;
  Tcp::socket target_;
  Opener opened_by_;
  int pumps_done_ = 0;
  std::shared_ptr<Pump> forward_;
  std::shared_ptr<Pump> backward_;
};

void Link::Pump::read() {
  if (is_reading_ || has_ended_ || queued_bytes_ >= kWindowBytes) return;
  is_reading_ = true;
  from_.async_read_some(asio::buffer(buffer_),
                        [self = shared_from_this()](const error_code& status, std::size_t bytes) {
                          self->onRead(status, bytes);
                        });
}

void Link::Pump::onRead(const error_code& status, std::size_t bytes) {
  is_reading_ = false;
  Chunk chunk;
  chunk.due = link_.scheduleTransfer(direction_, bytes, clockNow());
  if (status) {
    has_ended_ = true;
    chunk.end = status == asio::error::eof ? End::kOrderly : End::kReset;
  } else {
    chunk.bytes.assign(buffer_.data(), bytes);
  }
  queued_bytes_ += chunk.bytes.size();
  queue_.push_back(std::move(chunk));
  writeNext();
  read();
}

void Link::Pump::writeNext() {
  if (is_writing_ || queue_.empty() || link_.state(direction_).is_silent) return;
  if (const TimePoint now = clockNow(); queue_.front().due > now) {
    timer_.expires_after(queue_.front().due - now);
    timer_.async_wait([self = shared_from_this()](const error_code& status) {
      if (!status) self->writeNext();
    });
    return;
  }
  if (queue_.front().end != End::kNone) return forwardEnd(queue_.front().end);
  is_writing_ = true;
  asio::async_write(to_, asio::buffer(queue_.front().bytes),
                    [self = shared_from_this()](const error_code& status, std::size_t) {
                      self->onWritten(status);
                    });
}

void Link::Pump::onWritten(const error_code& status) {
  is_writing_ = false;
  if (status) return session_->reset();
  queued_bytes_ -= queue_.front().bytes.size();
  queue_.pop_front();
  read();
  writeNext();
}

void Link::Pump::forwardEnd(End end) {
  queue_.clear();
  if (end == End::kReset) return session_->reset();
  error_code ignored;
  to_.shutdown(Tcp::socket::shutdown_send, ignored);
  session_->onPumpDone();
}

// ---- Incoming connections

class Link::Forwarder : public std::enable_shared_from_this<Link::Forwarder> {
 public:
  Forwarder(Link& link, Address listen, Address target, Opener opener)
      : link_(link),
        listen_(std::move(listen)),
        target_(std::move(target)),
        opener_(opener),
        acceptor_(link.context_) {}

  Opener opener() const { return opener_; }

  void open() {
    if (acceptor_.is_open()) return;
    const Tcp::endpoint endpoint = endpointOf(listen_);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    accept();
  }

  void close() {
    error_code ignored;
    acceptor_.close(ignored);
  }

 private:
  void accept() {
    acceptor_.async_accept([self = shared_from_this()](const error_code& status, Tcp::socket peer) {
      if (status) return;  // The acceptor was closed.
      self->take(std::move(peer));
      self->accept();
    });
  }

  void take(Tcp::socket peer) {
    const auto session = std::make_shared<Session>(link_, std::move(peer), opener_);
    std::erase_if(link_.sessions_, [](const auto& known) { return known.expired(); });
    link_.sessions_.push_back(session);
    session->start(target_);
  }

  Link& link_;
  Address listen_;
  Address target_;
  Opener opener_;
  Tcp::acceptor acceptor_;
};

Link::~Link() {
  for (const auto& forwarder : forwarders_) forwarder->close();
  reset();
}

void Link::forward(const Address& listen, const Address& target, Opener opener) {
  forwarders_.push_back(std::make_shared<Forwarder>(*this, listen, target, opener));
  forwarders_.back()->open();
}

void Link::setOpen(bool is_open) {
  for (const auto& forwarder : forwarders_) {
    if (forwarder->opener() == Opener::kMachine) continue;
    is_open ? forwarder->open() : forwarder->close();
  }
}

void Link::setDelay(Duration one_way) {
  for (DirectionState& state : directions_) state.delay = one_way;
}

void Link::setRate(std::uint64_t bytes_per_second) {
  for (DirectionState& state : directions_) state.rate = bytes_per_second;
}

void Link::setSilent(Direction direction, bool is_silent) {
  state(direction).is_silent = is_silent;
  if (is_silent) return;
  for (const auto& known : std::vector(sessions_)) {
    if (const auto session = known.lock()) session->wake();
  }
}

void Link::reset() {
  for (const auto& known : std::exchange(sessions_, {})) {
    if (const auto session = known.lock()) session->reset();
  }
}

/// Returns when `bytes` that are read now arrive at the other side, and reserves the bandwidth for
/// them.
TimePoint Link::scheduleTransfer(Direction direction, std::size_t bytes, TimePoint now) {
  DirectionState& state = this->state(direction);
  if (state.rate == 0) return now + state.delay;
  const double seconds = static_cast<double>(bytes) / static_cast<double>(state.rate);
  const auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  state.busy_until = std::max(state.busy_until, now) + time;
  return state.busy_until + state.delay;
}

}  // namespace coursepond::soak
