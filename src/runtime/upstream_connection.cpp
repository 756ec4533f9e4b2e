#include "runtime/upstream_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace coursepond::runtime {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

UpstreamConnection::UpstreamConnection(asio::io_context& context,
                                       std::shared_ptr<DeadlineWatch> watch,
                                       const UpstreamSettings& settings,
                                       UpstreamStatistics& statistics, UpstreamOwner& owner,
                                       ServiceName service, model::Endpoint endpoint)
    : Watched(std::move(watch)),
      socket_(context),
      settings_(settings),
      statistics_(statistics),
      owner_(&owner),
      service_(std::move(service)),
      endpoint_(std::move(endpoint)),
      buffer_(settings.buffer_bytes),
      parser_(MessageParser::Kind::kAnswer,
              ParserLimits{settings.answer_head_bytes, {}, settings.table}) {}

// ---- Connecting

void UpstreamConnection::connect(UpstreamUser* user) {
  user_ = user;
  state_ = State::kConnecting;
  ++statistics_.connects;
  error_code error;
  const auto ip = asio::ip::make_address(endpoint_.address.host, error);
  if (error) {
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), error] { self->onConnected(error); });
    return;
  }
  expireAfter(settings_.connect_timeout);
  socket_.async_connect(
      Tcp::endpoint(ip, endpoint_.address.port),
      [self = shared_from_this()](const error_code& failure) { self->onConnected(failure); });
}

void UpstreamConnection::onConnected(const error_code& error) {
  if (state_ != State::kConnecting) return;
  if (error) return fail(UpstreamFailure::kConnectFailed);
  error_code ignored;
  socket_.set_option(Tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  read();
  if (user_ == nullptr) return becomeIdle();
  UpstreamUser* const user = user_;
  assign(*user);
  user->onUpstreamReady();
}

void UpstreamConnection::assign(UpstreamUser& user) {
  expireNever();
  user_ = &user;
  state_ = State::kBusy;
  write_failed_ = sent_bytes_ = false;
  written_bytes_ = 0;
  interim_bytes_ = 0;
  request_complete_ = false;
  answer_watched_ = false;
  skipping_ = false;
  skipped_answer_ = false;
  output_.clear();
  link_writer_.reset();
}

bool UpstreamConnection::isFresh() {
  char byte = 0;
  error_code error;
  socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

void UpstreamConnection::becomeIdle() {
  user_ = nullptr;
  state_ = State::kIdle;
  expireAfter(settings_.idle_timeout);
  if (owner_ == nullptr) return close();
  owner_->onConnectionIdle(*this);
}

// ---- Request

void UpstreamConnection::expectAnswerTo(bool head_request) {
  head_request_ = head_request;
  parser_.reset(head_request);
}

/// Tries to write without waiting: most requests fit into the socket's buffer and need no event.
void UpstreamConnection::write() {
  if (link_writer_) return writeInTurns();
  error_code error;
  const std::size_t written = socket_.write_some(asio::buffer(output_), error);
  written_bytes_ += written;
  // A reset connection takes no more bytes. After any other error, the write is continued.
  const bool is_reset = error == asio::error::connection_reset || error == asio::error::broken_pipe;
  if (!is_reset || written > 0) sent_bytes_ = true;
  if (error && error != asio::error::would_block) write_failed_ = true;
  if (!error && written == output_.size() && request_complete_) return output_.clear();
  writing_ = true;
  writeRest(written);
}

void UpstreamConnection::scheduleOutput(proxy::LinkScheduler& link, TimePoint due) {
  if (!link_writer_) link_writer_ = std::make_shared<LinkWriter<TcpSocket>>(socket_, link);
  output_due_ = due;
}

void UpstreamConnection::writeInTurns() {
  writing_ = true;
  const auto on_done = [self = shared_from_this()](const error_code& error) {
    self->onWritten(error, self->link_writer_->written());
  };
  link_writer_->write(std::exchange(output_, {}), output_due_, {[](bool) {}, on_done});
}

void UpstreamConnection::writeRest(std::size_t written) {
  asio::async_write(socket_, asio::buffer(output_) + written,
                    [self = shared_from_this()](const error_code& error, std::size_t size) {
                      self->onWritten(error, size);
                    });
}

void UpstreamConnection::onWritten(const error_code& error, std::size_t size) {
  writing_ = false;
  if (state_ != State::kBusy) return;
  written_bytes_ += size;
  if (!error) {
    output_.clear();
    return user_->onUpstreamWritten();
  }
  write_failed_ = true;
  if (written_bytes_ == 0) return fail(UpstreamFailure::kClosedUnsent);
  // The server may have answered before it closed; the pending read will show that.
  request_complete_ = false;
}

// ---- Answer

void UpstreamConnection::read() {
  if (reading_) return;
  reading_ = true;
  socket_.async_read_some(buffer_.prepare(),
                          [self = shared_from_this()](const error_code& error, std::size_t size) {
                            self->onRead(error, size);
                          });
}

void UpstreamConnection::onRead(const error_code& error, std::size_t size) {
  reading_ = false;
  if (state_ == State::kClosed) return;
  if (error) return onReadError(error);
  buffer_.commit(size);
  if (!hasRequest() || !sent_bytes_) return fail(UpstreamFailure::kClosedUnsent);
  parse();
}

void UpstreamConnection::onReadError(const error_code& error) {
  if (!hasRequest()) {
    ++statistics_.closed_while_idle;
    return close();
  }
  if (!sent_bytes_) return fail(UpstreamFailure::kClosedUnsent);
  if (error != asio::error::eof) return fail(UpstreamFailure::kLost);
  if (!writing_) return onStreamEnded();
  // If a write has met a reset, its handler is already queued.
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->onStreamEnded(); });
}

/// The system reports a reset to one call only. If a write got the report, a read sees an orderly
/// end of the stream, which then does not prove that an answer without a length is whole.
void UpstreamConnection::onStreamEnded() {
  if (!hasRequest()) return;
  const bool ended_by_close = !write_failed_ && !skipping_ && parser_.headComplete() &&
                              parser_.head().framing == BodyFraming::kUntilClose;
  if (ended_by_close && parser_.parseEnd()) return onAnswerComplete();
  fail(UpstreamFailure::kLost);
}

void UpstreamConnection::parse() {
  const std::shared_ptr<UpstreamConnection> self = shared_from_this();
  while (!parser_.headComplete()) {
    if (!parseHead()) return;
  }
  if (!hasRequest()) return;
  if (!parser_.complete()) {
    buffer_.consume(parser_.parseBody(buffer_.data(), *this));
    if (parser_.failure() != ParseFailure::kNone) return fail(UpstreamFailure::kMalformed);
  }
  if (!hasRequest()) return;
  if (parser_.complete()) return skipping_ ? onSkipped() : onAnswerComplete();
  if (buffer_.full()) return fail(UpstreamFailure::kMalformed);
  if (state_ == State::kDiscarding || skipping_) return read();
  expireNever();
  user_->onUpstreamPause();
}

/// Returns false when more bytes are needed or the connection can no longer be used.
bool UpstreamConnection::parseHead() {
  buffer_.consume(parser_.parseHead(buffer_.data()));
  const bool failed = parser_.failure() != ParseFailure::kNone;
  if (failed || (!parser_.headComplete() && buffer_.full())) {
    fail(UpstreamFailure::kMalformed);
    return false;
  }
  if (!parser_.headComplete()) {
    read();
    return false;
  }
  const unsigned status = parser_.head().status;
  if (status == 101) {
    fail(UpstreamFailure::kMalformed);
    return false;
  }
  if (isInterim(status)) return skipInterim();
  if (user_ != nullptr) user_->onUpstreamHead(parser_.head());
  return true;
}

bool UpstreamConnection::skipInterim() {
  interim_bytes_ += parser_.headBytes();
  if (interim_bytes_ > settings_.answer_head_bytes) {
    fail(UpstreamFailure::kMalformed);
    return false;
  }
  const unsigned status = parser_.head().status;
  parser_.reset(head_request_);
  if (user_ != nullptr) user_->onUpstreamInterim(status);
  if (!hasRequest()) return false;
  if (!buffer_.empty()) return true;
  read();
  return false;
}

void UpstreamConnection::skipAnswer() {
  skipping_ = true;
  skipped_answer_ = true;
}

void UpstreamConnection::onSkipped() {
  skipping_ = false;
  parser_.reset(head_request_);
  if (buffer_.empty()) return read();
  parse();
}

void UpstreamConnection::onBody(std::string_view piece) {
  if (skipping_) return;
  if (state_ == State::kBusy) return user_->onUpstreamBody(piece);
  discarded_bytes_ += piece.size();
  if (state_ == State::kDiscarding && discarded_bytes_ > settings_.discard_bytes) abandon();
}

void UpstreamConnection::resume() {
  if (state_ != State::kBusy) return;
  if (answer_watched_) armAnswerTimer();
  // A server that sends faster than the timer ticks would otherwise go on.
  const bool is_over = answer_watched_ && BootClock::now() >= latest_end_;
  if (!is_over) read();
}

void UpstreamConnection::watchAnswer(TimePoint latest_end) {
  answer_watched_ = true;
  latest_end_ = latest_end;
  armAnswerTimer();
}

void UpstreamConnection::armAnswerTimer() {
  expireAt(std::min(BootClock::now() + settings_.answer_stall_timeout, latest_end_));
}

void UpstreamConnection::onAnswerComplete() {
  UpstreamUser* const user = user_;
  const bool reusable = parser_.head().keep_alive && !skipped_answer_ && buffer_.empty() &&
                        request_complete_ && !writing_ &&
                        parser_.head().framing != BodyFraming::kUntilClose;
  if (reusable) {
    read();
    becomeIdle();
  } else {
    close();
  }
  if (user != nullptr) user->onUpstreamComplete();
}

// ---- Closing

void UpstreamConnection::onDeadline() {
  const std::shared_ptr<UpstreamConnection> self = shared_from_this();
  switch (state_) {
    case State::kIdle:
      ++statistics_.closed_while_idle;
      return close();
    case State::kConnecting:
      return fail(UpstreamFailure::kConnectFailed);
    case State::kDiscarding:
      return abandon();
    case State::kBusy:
      return fail(UpstreamFailure::kStalled);
    case State::kNew:
    case State::kClosed:
      return;
  }
}

void UpstreamConnection::fail(UpstreamFailure failure) {
  if (failure == UpstreamFailure::kConnectFailed) ++statistics_.connect_failures;
  UpstreamUser* const user = user_;
  close();
  if (user != nullptr) user->onUpstreamFailed(failure);
}

void UpstreamConnection::abandon() {
  if (state_ != State::kClosed) ++statistics_.abandoned;
  close();
}

void UpstreamConnection::discard() {
  const bool small =
      parser_.complete() || (parser_.head().framing == BodyFraming::kLength &&
                             parser_.head().content_length <= settings_.discard_bytes);
  if (!small || !request_complete_ || state_ != State::kBusy) return abandon();
  user_ = nullptr;
  state_ = State::kDiscarding;
  discarded_bytes_ = 0;
  expireAfter(settings_.discard_timeout);
}

void UpstreamConnection::close() {
  if (state_ == State::kClosed) return;
  const std::shared_ptr<UpstreamConnection> self =
      shared_from_this();  // May be held by the writer.
  if (link_writer_) link_writer_->cancel();
  state_ = State::kClosed;
  user_ = nullptr;
  expireNever();
  error_code ignored;
  socket_.close(ignored);
  if (owner_ != nullptr) owner_->onConnectionClosed(*this);
}

}  // namespace coursepond::runtime
