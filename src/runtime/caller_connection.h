#pragma once

/// One caller's connection of the ProxyServer: reads requests, lets those run side by side that
/// may, and writes the answers whole and in the order of the requests.
///
/// Invariants: one exchange's bytes are written at a time, the front's. A request begins beside
/// others only when it and all before it may run twice, since a connection that ends takes the
/// answers behind with it and the caller sends those requests again.

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "runtime/caller_exchange.h"
#include "runtime/deadline_watch.h"
#include "runtime/proxy_server_shared.h"
#include "runtime/receive_buffer.h"
#include "runtime/tcp_types.h"

namespace coursepond::runtime {

class CallerConnection final : public std::enable_shared_from_this<CallerConnection>,
                               private Watched {
 public:
  CallerConnection(std::shared_ptr<ProxyServerShared> shared, TcpSocket socket);
  ~CallerConnection() override;

  void start();
  /// Ends the connection if no request is on it.
  void closeIfIdle();
  /// Resets the connection. Requests in flight are given up.
  void cut();
  bool hasRequest() const { return !exchanges_.empty(); }

  // For its exchanges
  ProxyServerShared& shared() { return *shared_; }
  boost::asio::any_io_executor executor() { return socket_.get_executor(); }
  /// Bytes of the last exchange's request, or of requests after it.
  ReceiveBuffer& received() { return received_; }
  void read();
  bool isLast(const CallerExchange& exchange) const { return exchanges_.back().get() == &exchange; }
  bool isWriting() const { return writing_; }
  /// Nothing is begun any more: the last exchange's answer says that the connection ends.
  void beginNothingMore() { is_ending_ = true; }
  /// Writes what the socket takes at once, when it is the exchange's turn. True when all is
  /// written.
  bool writeNow(CallerExchange& exchange);
  /// Writes the rest of its output as the socket takes it, when it is the exchange's turn.
  void flush(CallerExchange& exchange);
  /// The exchange waits for its caller: see CallerExchange::callerTimeout().
  void awaitCaller(const CallerExchange& exchange);
  /// Its answer is complete and written.
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
  bool hasCallerLeft();
  ExchangePointer takeExchange();

  // Writing
  bool isTurnOf(const CallerExchange& exchange) const;
  void onWritten(const boost::system::error_code& error);

  // Ends
  void onDeadline() override;
  void dropExchanges();
  void closeGracefully();
  void close();

  std::shared_ptr<ProxyServerShared> shared_;
  TcpSocket socket_;
  State state_ = State::kIdle;
  ReceiveBuffer received_;

  /// Keeps this alive while exchanges are, also when no operation on the socket is pending.
  std::shared_ptr<CallerConnection> owner_;
  std::deque<ExchangePointer> exchanges_;  ///< Begun and not done, in the caller's order.
  ExchangePointer next_;                   ///< Its head is being read, or waits for its turn.
  std::optional<RefusalReason> next_refusal_;
  bool is_next_read_ = false;  ///< The head of next_ is complete or refused.
  ExchangePointer spare_;      ///< Done; keeps its memory for the next one.

  std::string written_;  ///< Being written now.
  bool reading_ = false;
  bool read_closed_ = false;
  bool writing_ = false;
  bool is_ending_ = false;
};

}  // namespace coursepond::runtime
