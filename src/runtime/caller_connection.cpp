#include "runtime/caller_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <numeric>

#include "proxy/reason.h"
#include "runtime/buffer_memory.h"

namespace coursepond::runtime {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

/// How long the caller may still send after this side has ended the connection.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
constexpr std::size_t kDiscardBytes = std::size_t{16} * 1024;
/// Bounds the time spent on a caller that sends faster than its bytes are discarded.
constexpr int kMaxDiscards = 64;
constexpr int kUnavailableStatus = 503;

/// Returns the scheduler for output to the caller; null if the output crosses no link.
proxy::LinkScheduler* linkTo(const TcpSocket& caller, const ProxyServerSettings& settings) {
  if (settings.link == nullptr || settings.own_host.empty()) return settings.link;
  error_code ignored;
  const bool is_own = caller.remote_endpoint(ignored).address().to_string() == settings.own_host;
  return is_own ? nullptr : settings.link;
}

}  // namespace

CallerConnection::CallerConnection(std::shared_ptr<ProxyServerShared> shared, TcpSocket socket)
    : Watched(shared->watch),
      shared_(std::move(shared)),
      socket_(std::move(socket)),
      link_(linkTo(socket_, shared_->settings)),
      received_(std::max(shared_->settings.buffer_bytes, shared_->settings.head_bytes)) {
  shared_->connections.insert(this);
}

CallerConnection::~CallerConnection() {
  if (link_ != nullptr) link_->cancel(*this);
  shared_->connections.erase(this);
  if (shared_->connections.empty() && shared_->on_empty) shared_->on_empty();
}

void CallerConnection::start() {
  expireAfter(shared_->settings.idle_timeout);
  read();
}

// ---- Reading

void CallerConnection::read() {
  if (reading_ || read_closed_ || received_.full() || state_ == State::kClosed) return;
  reading_ = true;
  socket_.async_read_some(received_.prepare(),
                          [self = shared_from_this()](const error_code& error, std::size_t size) {
                            self->onRead(error, size);
                          });
}

void CallerConnection::onRead(const error_code& error, std::size_t size) {
  reading_ = false;
  if (state_ == State::kClosed) return;
  if (error) {
    read_closed_ = true;
    return onReadClosed();
  }
  received_.commit(size);
  last_read_ = shared_->environment.now();
  if (state_ == State::kLingering) {
    received_.consume(received_.data().size());
    return read();
  }
  if (!exchanges_.empty()) {
    const ExchangePointer last = exchanges_.back();
    last->onBytes();
  }
  advance();
}

void CallerConnection::onReadClosed() {
  if (exchanges_.empty()) return close();
  const bool is_answered =
      std::all_of(exchanges_.begin(), exchanges_.end(),
                  [](const ExchangePointer& each) { return each->isAnswered(); });
  if (is_answered) return;  // The caller may still read the answer.
  ++shared_->statistics.callers_gone;
  close();
}

/// Starts every request that may start now, then waits for more bytes.
void CallerConnection::advance() {
  if (state_ == State::kLingering || state_ == State::kClosed) return;
  while (!is_ending_ && state_ != State::kClosed) {
    if (!is_next_read_ && !readHead()) break;
    if (!mayBegin()) break;
    beginNext();
  }
  if (state_ == State::kClosed) return;
  if (exchanges_.empty()) awaitHead();
  read();  // Also detects that the caller leaves.
}

/// Reads the head of the next request. Returns false while bytes are missing or belong to a body.
bool CallerConnection::readHead() {
  if (!exchanges_.empty()) {
    const bool reads_ahead =
        shared_->source.may_run_concurrently && exchanges_.back()->requestComplete();
    if (!reads_ahead) return false;
  }
  if (!next_) next_ = takeExchange();
  MessageParser& parser = next_->parser();
  // Empty lines before a request line are ignored (RFC 9112, section 2.2).
  while (parser.atStart() && received_.data().starts_with("\r\n")) received_.consume(2);
  received_.consume(parser.parseHead(received_.data()));
  if (parser.failure() != ParseFailure::kNone) {
    next_refusal_ = refusalOf(parser.failure());
  } else if (parser.headComplete()) {
    next_refusal_ = next_->check();
  } else if (received_.full()) {
    next_refusal_ = RefusalReason::kHeadTooLarge;
  } else {
    return false;
  }
  is_next_read_ = true;
  return true;
}

void CallerConnection::awaitHead() {
  if (read_closed_) return close();
  const bool has_begun = next_ && (!next_->parser().atStart() || !received_.empty());
  const State awaited = has_begun ? State::kHead : State::kIdle;
  if (state_ == awaited) return;  // The timeout is already running.
  state_ = awaited;
  const ProxyServerSettings& settings = shared_->settings;
  expireAfter(has_begun ? settings.head_timeout : settings.idle_timeout);
  // The head of the answer before did not announce it if that was sent before the stop.
  if (shared_->closes_idle) closeIfIdle();
}

bool CallerConnection::mayBegin() const {
  if (exchanges_.empty()) return true;
  if (next_refusal_ || !next_->mayRunConcurrently() || !exchanges_.front()->mayRunConcurrently())
    return false;
  if (exchanges_.size() >= shared_->settings.max_concurrent_requests) return false;
  const std::size_t held = std::accumulate(
      exchanges_.begin(), exchanges_.end(), std::size_t{0},
      [](std::size_t sum, const ExchangePointer& each) { return sum + each->output().size(); });
  return held <= shared_->settings.buffered_answer_bytes;
}

void CallerConnection::beginNext() {
  const std::optional<RefusalReason> refusal = std::exchange(next_refusal_, std::nullopt);
  is_next_read_ = false;
  if (!refusal) {
    ++shared_->statistics.requests;
    if (hasCallerLeft()) return endReading();
  }
  owner_ = shared_from_this();
  if (exchanges_.empty()) expireNever();
  state_ = State::kExchange;
  exchanges_.push_back(std::move(next_));
  const ExchangePointer begun = exchanges_.back();
  refusal ? begun->refuse(*refusal) : begun->begin();
}

bool CallerConnection::hasCallerLeft() {
  char byte = 0;
  error_code error;
  const std::size_t size =
      socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error != asio::error::would_block && size == 0;
}

/// Handles the end of the stream before it has been read.
void CallerConnection::endReading() {
  if (state_ == State::kClosed) return;
  read_closed_ = true;
  is_ending_ = true;
  if (exchanges_.empty()) ++shared_->statistics.callers_gone;
  onReadClosed();
}

void CallerConnection::endReadingLater() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->endReading(); });
}

CallerConnection::ExchangePointer CallerConnection::takeExchange() {
  if (spare_) return std::move(spare_);
  return std::make_shared<CallerExchange>(*this);
}

// ---- Writing

bool CallerConnection::isTurnOf(const CallerExchange& exchange) const {
  return state_ == State::kExchange && exchanges_.front().get() == &exchange;
}

bool CallerConnection::writeNow(CallerExchange& exchange) {
  if (writing_ || !isTurnOf(exchange)) return false;
  std::string& output = exchange.output();
  if (output.empty()) return true;
  if (linkFor(exchange) != nullptr) return false;
  error_code error;
  const std::size_t written = socket_.write_some(asio::buffer(output), error);
  if (link_ != nullptr) link_->onSmallSent(written);
  output.erase(0, written);
  return output.empty();
}

void CallerConnection::flush(CallerExchange& exchange) {
  if (writing_ || !isTurnOf(exchange) || exchange.output().empty()) return;
  written_.swap(exchange.output());
  writing_ = true;
  if (linkFor(exchange) != nullptr) {
    written_offset_ = 0;
    return requestLinkTurn();
  }
  expireAfter(shared_->settings.write_timeout);
  if (link_ != nullptr) link_->onSmallSent(written_.size());
  asio::async_write(socket_, asio::buffer(written_),
                    [self = shared_from_this()](const error_code& error, std::size_t) {
                      self->onWritten(error);
                    });
}

/// Returns the scheduler of the link if the exchange's answer must wait for its turns.
proxy::LinkScheduler* CallerConnection::linkFor(const CallerExchange& exchange) const {
  return exchange.hasLargeAnswer() ? link_ : nullptr;
}

/// The rest of the answer counts as waiting although its server holds it until there is room here.
/// Other answers may go first for a long time, so the timeout for slow callers does not run.
void CallerConnection::requestLinkTurn() {
  expireNever();
  CallerExchange& exchange = *exchanges_.front();
  const std::size_t held = written_.size() - written_offset_ + exchange.output().size();
  link_->requestTurn(*this, held + exchange.unreceivedBytes(), exchange.due());
}

void CallerConnection::onLinkTurn(std::size_t bytes) {
  if (state_ != State::kExchange) return;
  const std::shared_ptr<CallerConnection> self = shared_from_this();
  error_code error;
  const std::size_t sent =
      socket_.write_some(asio::buffer(written_.data() + written_offset_,
                                      std::min(bytes, written_.size() - written_offset_)),
                         error);
  link_->onLargeSent(sent);
  written_offset_ += sent;
  if (error == asio::error::would_block) return awaitRoom();
  if (error || written_offset_ == written_.size()) return onWritten(error);
  requestLinkTurn();
}

/// The caller reads more slowly than the link sends. The connection asks for its next turn when its
/// socket accepts bytes again.
void CallerConnection::awaitRoom() {
  expireAfter(shared_->settings.write_timeout);
  socket_.async_wait(TcpSocket::wait_write, [self = shared_from_this()](const error_code& error) {
    if (self->state_ != State::kExchange || !self->writing_) return;
    if (error) return self->onWritten(error);
    self->requestLinkTurn();
  });
}

void CallerConnection::onWritten(const error_code& error) {
  writing_ = false;
  clearBuffer(written_);
  if (state_ != State::kExchange) return;
  if (error) {
    ++shared_->statistics.callers_gone;
    return close();
  }
  const ExchangePointer front = exchanges_.front();
  awaitCaller(*exchanges_.back());
  if (!front->output().empty()) return flush(*front);
  if (front->isAnswered()) return onDone(*front);
  front->onWritten();
}

void CallerConnection::awaitCaller(const CallerExchange& exchange) {
  const Duration timeout = exchange.callerTimeout();
  timeout > Duration(0) ? expireAfter(timeout) : expireNever();
}

void CallerConnection::onDone(CallerExchange& exchange) {
  const std::shared_ptr<CallerConnection> self = shared_from_this();
  ++shared_->statistics.answers;
  const bool ends = exchange.endsConnection() || !exchange.requestComplete();
  const ExchangePointer done = std::move(exchanges_.front());
  exchanges_.pop_front();
  done->reset();
  if (!spare_) spare_ = done;
  if (ends) {
    dropExchanges();
    owner_.reset();
    return closeGracefully();
  }
  if (!exchanges_.empty()) {
    const ExchangePointer front = exchanges_.front();
    front->onTurn();
  } else {
    owner_.reset();
  }
  advance();
}

// ---- Closing

void CallerConnection::onDeadline() {
  const std::shared_ptr<CallerConnection> self = shared_from_this();
  switch (state_) {
    case State::kIdle:
      return closeGracefully();
    case State::kHead:
      next_refusal_ = RefusalReason::kSlowHead;
      return beginNext();
    case State::kExchange: {
      const ExchangePointer last = exchanges_.back();
      if (last->callerTimeout() > Duration(0) && !writing_) return last->onCallerSlow();
      ++shared_->statistics.callers_gone;
      return cut();
    }
    case State::kLingering:
      return close();
    case State::kClosed:
      return;
  }
}

/// Abandons the exchanges. One of them may be the caller of this function, so they are destroyed in
/// a later event.
void CallerConnection::dropExchanges() {
  if (exchanges_.empty()) return;
  for (const ExchangePointer& exchange : exchanges_) exchange->drop();
  asio::post(socket_.get_executor(), [held = std::move(exchanges_)] {});
  exchanges_.clear();
}

void CallerConnection::closeIfIdle() {
  if (state_ != State::kIdle || hasUnreadBytes()) return;
  if (shared_->settings.answer_style == AnswerStyle::kIngress) announceClose();
  closeGracefully();
}

/// Returns whether a request has arrived whose bytes this process has not read yet.
bool CallerConnection::hasUnreadBytes() const {
  error_code error;
  return socket_.available(error) > 0 && !error;
}

/// A request that is on its way cannot be distinguished from one that was lost while it ran. So the
/// last message on the connection is a refusal that belongs to no request. An egress that has sent
/// a request meanwhile reads it as the answer; any other one closes the connection.
void CallerConnection::announceClose() {
  AnswerContext context;
  context.names = &shared_->table->names();
  context.style = AnswerStyle::kIngress;
  context.close = true;
  std::string refusal;
  appendLocalAnswer(refusal,
                    {kUnavailableStatus, proxy::Outcome::kNotRun,
                     std::string(proxy::reasonName(proxy::Reason::kStopping)), std::nullopt},
                    context);
  // Nothing is being written on an idle connection, so its send buffer has room.
  error_code ignored;
  socket_.write_some(asio::buffer(refusal), ignored);
}

/// Shuts down sending, then reads until the caller closes too. Closing with unread bytes would
/// reset the connection, and the caller could lose the answer.
void CallerConnection::closeGracefully() {
  error_code error;
  socket_.shutdown(Tcp::socket::shutdown_send, error);
  if (error || read_closed_) return close();
  state_ = State::kLingering;
  received_.consume(received_.data().size());
  expireAfter(kLingerTimeout);
  read();
}

/// Resets the connection, so that the caller cannot take a partial answer for a complete one.
void CallerConnection::cut() {
  if (state_ == State::kClosed) return;
  error_code ignored;
  socket_.set_option(Tcp::socket::linger(true, 0), ignored);
  close();
}

void CallerConnection::cutUnlessAnswered() {
  if (state_ != State::kLingering) return cut();
  discardUnreadBytes();
  close();
}

/// Unread bytes would make the system reset the connection when it is closed.
void CallerConnection::discardUnreadBytes() {
  std::array<char, kDiscardBytes> bytes;
  error_code error;
  for (int left = kMaxDiscards; left > 0 && socket_.available(error) > 0; --left) {
    socket_.read_some(asio::buffer(bytes), error);
    if (error) return;
  }
}

void CallerConnection::close() {
  if (state_ == State::kClosed) return;
  const std::shared_ptr<CallerConnection> self = std::move(owner_);
  state_ = State::kClosed;
  if (link_ != nullptr) link_->cancel(*this);
  expireNever();
  dropExchanges();
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace coursepond::runtime
