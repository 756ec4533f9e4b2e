#pragma once

/// Writes a large message to a socket in turns of the link's scheduler, so that small output of the
/// machine does not wait behind it.

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "proxy/link_scheduler.h"

namespace coursepond::runtime {

/// `Socket` is non-blocking and must stay valid until the message is written or cancel() is called.
template <typename Socket>
class LinkWriter final : public std::enable_shared_from_this<LinkWriter<Socket>>,
                         private proxy::LargeSender {
 public:
  struct Events {
    /// Called before each wait: for the peer to accept more, or else for a turn.
    std::function<void(bool waits_for_peer)> onWait;
    /// Called once, in a later event, when everything is written or the write has failed.
    std::function<void(const boost::system::error_code&)> onDone;
  };

  /// `link` must stay valid as long as `socket`.
  LinkWriter(Socket& socket, proxy::LinkScheduler& link) : socket_(socket), link_(link) {}
  ~LinkWriter() override {
    if (isWriting()) link_.cancel(*this);
  }
  LinkWriter(const LinkWriter&) = delete;
  LinkWriter& operator=(const LinkWriter&) = delete;

  /// `due`: see proxy::LinkScheduler. Only one message may be in flight.
  void write(std::string message, TimePoint due, Events events) {
    message_ = std::move(message);
    written_ = 0;
    due_ = due;
    events_ = std::move(events);
    requestTurn();
  }
  /// Number of bytes of the last message that were written.
  std::size_t written() const { return written_; }
  bool isWriting() const { return events_.onDone != nullptr; }

  /// Drops what is not written yet. No further events follow.
  void cancel() {
    link_.cancel(*this);
    message_ = std::string();
    events_ = {};
  }

 private:
  void requestTurn() {
    events_.onWait(false);
    link_.requestTurn(*this, message_.size() - written_, due_);
  }

  void onLinkTurn(std::size_t bytes) override {
    const auto self = this->shared_from_this();
    boost::system::error_code error;
    const std::size_t sent =
        socket_.write_some(boost::asio::buffer(message_.data() + written_,
                                               std::min(bytes, message_.size() - written_)),
                           error);
    link_.onLargeSent(sent);
    written_ += sent;
    if (error == boost::asio::error::would_block) return awaitRoom();
    if (error || written_ == message_.size()) return finish(error);
    requestTurn();
  }

  /// The peer reads more slowly than the link sends.
  void awaitRoom() {
    events_.onWait(true);
    socket_.async_wait(Socket::wait_write,
                       [self = this->shared_from_this()](const boost::system::error_code& error) {
                         if (!self->isWriting()) return;
                         error ? self->finish(error) : self->requestTurn();
                       });
  }

  void finish(const boost::system::error_code& error) {
    const Events events = std::move(events_);
    cancel();
    events.onDone(error);
  }

  Socket& socket_;
  proxy::LinkScheduler& link_;
  std::string message_;
  std::size_t written_ = 0;
  TimePoint due_;
  Events events_;
};

}  // namespace coursepond::runtime
