#pragma once

/// One connection from a caller to the ProxyServer. Reads requests, runs them concurrently where
/// that is allowed, and writes complete answers in the order of the requests.
///
/// Invariants: only the answer of the oldest exchange is being written at any time. A request
/// starts concurrently with earlier ones only if it and all of those may run twice: if the
/// connection ends early, the remaining answers are lost and the caller sends those requests again.

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "proxy/link_scheduler.h"
#include "runtime/caller_exchange.h"
#include "runtime/deadline_watch.h"
#include "runtime/proxy_server_shared.h"
#include "runtime/receive_buffer.h"
#include "runtime/tcp_types.h"

namespace coursepond::runtime {

class CallerConnection final : public std::enable_shared_from_this<CallerConnection>,
                               private Watched,
                               private proxy::LargeSender {
 public:
  CallerConnection(std::shared_ptr<ProxyServerShared> shared, TcpSocket socket);
  ~CallerConnection() override;

  void start();
  proxy::LinkScheduler* link() const { return link_; }
  /// Closes the connection if it carries no request and none has arrived. An egress is told that a
  /// request which is still on its way has not run and will not.
  void closeIfIdle();
  /// Resets the connection and abandons its requests in flight.
  void cut();
  /// Like cut(), but if the last answer of the connection was written, closes the connection
  /// without a reset, so that the operating system still sends the answer.
  void cutUnlessAnswered();
  bool hasRequest() const { return !exchanges_.empty(); }

  // Called by the connection's exchanges
  ProxyServerShared& shared() { return *shared_; }
  boost::asio::any_io_executor executor() { return socket_.get_executor(); }
  /// Received bytes that belong to the newest exchange's request or to requests after it.
  ReceiveBuffer& received() { return received_; }
  void read();
  /// When bytes were last received.
  TimePoint lastRead() const { return last_read_; }
  /// Returns whether the caller has closed its side and everything that it sent before has been
  /// received. After a pause of this process, a caller may have left long before the event for it.
  bool hasCallerLeft();
  /// Abandons the requests of a caller that has left, in a later event.
  void endReadingLater();
  bool isLast(const CallerExchange& exchange) const { return exchanges_.back().get() == &exchange; }
  bool isWriting() const { return writing_; }
  /// Starts no further requests, because the newest exchange's answer announces the end of the
  /// connection.
  void stopStartingRequests() { is_ending_ = true; }
  /// If this exchange is the oldest one, writes as much as the socket accepts without waiting.
  /// Returns true when all of its output is written.
  bool writeNow(CallerExchange& exchange);
  /// If this exchange is the oldest one, writes the rest of its output as the socket accepts it.
  void flush(CallerExchange& exchange);
  /// Called when the exchange starts to wait for its caller; see CallerExchange::callerTimeout().
  void awaitCaller(const CallerExchange& exchange);
  /// Called when the exchange's answer is complete and written.
  void onDone(CallerExchange& exchange);

 private:
  enum class State { kIdle, kHead, kExchange, kLingering, kClosed };
  using ExchangePointer = std::shared_ptr<CallerExchange>;

  // Reading
  void onRead(const boost::system::error_code& error, std::size_t size);
  void onReadClosed();
  void advance();
  bool readHead();
  void awaitHead();
  bool mayBegin() const;
  void beginNext();
  void endReading();
  ExchangePointer takeExchange();

  // Writing
  bool isTurnOf(const CallerExchange& exchange) const;
  proxy::LinkScheduler* linkFor(const CallerExchange& exchange) const;
  void requestLinkTurn();
  void awaitRoom();
  void onLinkTurn(std::size_t bytes) override;
  void onWritten(const boost::system::error_code& error);

  // Closing
  bool hasUnreadBytes() const;
  void discardUnreadBytes();
  void announceClose();
  void onDeadline() override;
  void dropExchanges();
  void closeGracefully();
  void close();

  std::shared_ptr<ProxyServerShared> shared_;
  TcpSocket socket_;
  proxy::LinkScheduler* const link_;  ///< Null: output to the caller is not scheduled.
  State state_ = State::kIdle;
  ReceiveBuffer received_;

  /// Keeps this object alive while it has exchanges, even when no socket operation is pending.
  std::shared_ptr<CallerConnection> owner_;
  /// Started and not finished, in the order of the requests.
  std::deque<ExchangePointer> exchanges_;
  ExchangePointer next_;  ///< Its head is being read, or it waits to be started.
  std::optional<RefusalReason> next_refusal_;
  bool is_next_read_ = false;  ///< The head of next_ is complete or was refused.
  ExchangePointer spare_;      ///< A finished exchange whose memory the next one reuses.

  std::string written_;             ///< Bytes of the write in flight.
  std::size_t written_offset_ = 0;  ///< Of these, the bytes that a scheduled write has sent.
  bool reading_ = false;
  bool read_closed_ = false;
  bool writing_ = false;
  bool is_ending_ = false;
  TimePoint last_read_;
};

}  // namespace coursepond::runtime
