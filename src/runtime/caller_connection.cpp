#include "runtime/caller_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace coursepond::runtime {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

/// How long a hop that was told to go on may take to send its body.
constexpr Duration kGoTimeout = std::chrono::seconds(1);
constexpr unsigned kContinueStatus = 100;
/// How long a connection that was ended here may still send.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);

ParserLimits requestLimits(const ProxyServerShared& shared) {
  const ProxyServerSettings& settings = shared.settings;
  ParserLimits limits;
  limits.table = shared.table.get();
  limits.head_bytes = settings.head_bytes;
  if (settings.body_bytes > 0) limits.body_bytes = settings.body_bytes;
  return limits;
}

proxy::AttemptFailure attemptFailureOf(UpstreamFailure failure) {
  switch (failure) {
    case UpstreamFailure::kConnectFailed:
      return proxy::AttemptFailure::kConnectFailed;
    case UpstreamFailure::kClosedUnsent:
      return proxy::AttemptFailure::kClosedUnsent;
    case UpstreamFailure::kMalformed:
      return proxy::AttemptFailure::kMalformedAnswer;
    case UpstreamFailure::kLost:
    case UpstreamFailure::kStalled:
      break;
  }
  return proxy::AttemptFailure::kLostAfterSend;
}

}  // namespace

CallerConnection::CallerConnection(std::shared_ptr<ProxyServerShared> shared, TcpSocket socket)
    : Watched(shared->watch),
      shared_(std::move(shared)),
      socket_(std::move(socket)),
      received_(std::max(shared_->settings.buffer_bytes, shared_->settings.head_bytes)),
      parser_(MessageParser::Kind::kRequest, requestLimits(*shared_)) {
  shared_->connections.insert(this);
}

CallerConnection::~CallerConnection() {
  shared_->connections.erase(this);
  if (shared_->connections.empty() && shared_->on_empty) shared_->on_empty();
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
  switch (state_) {
    case State::kIdle:
      state_ = State::kHead;
      expireAfter(shared_->settings.head_timeout);
      return parseHead();
    case State::kHead:
      return parseHead();
    case State::kExchange:
      if (awaiting_go_) {
        awaiting_go_ = false;
        expireNever();
        openUpstream();
      } else if (awaiting_body_) {
        pumpBody();
      }
      return read();  // Also notices the caller leaving.
    case State::kLingering:
      received_.consume(received_.data().size());
      return read();
    case State::kClosed:
      return;
  }
}

void CallerConnection::onReadClosed() {
  if (state_ != State::kExchange) return close();
  if (answer_complete_) return;  // It may still read what is being written.
  ++shared_->statistics.callers_gone;
  giveUpFlow();
  close();
}

void CallerConnection::awaitRequest() {
  parser_.reset();
  state_ = State::kHead;
  if (!received_.empty()) {
    expireAfter(shared_->settings.head_timeout);
    return parseHead();
  }
  if (read_closed_) return close();
  state_ = State::kIdle;
  expireAfter(shared_->settings.idle_timeout);
  read();
}

void CallerConnection::parseHead() {
  // Empty lines before a request line are ignored (RFC 9112, section 2.2).
  while (parser_.atStart() && received_.data().starts_with("\r\n")) received_.consume(2);
  received_.consume(parser_.parseHead(received_.data()));
  if (parser_.failure() != ParseFailure::kNone) return refuse(refusalOf(parser_.failure()));
  if (parser_.headComplete()) return beginExchange();
  if (read_closed_) return close();
  if (received_.full()) return refuse(RefusalReason::kHeadTooLarge);
  read();
}

void CallerConnection::beginExchange() {
  proxy::RequestHead head;
  const auto refusal = checkRequest(parser_.head(), shared_->request_ids, request_, head);
  if (refusal) return refuse(*refusal);
  ++shared_->statistics.requests;
  if (shared_->settings.answer_style == AnswerStyle::kIngress && hasCallerLeft()) return close();
  state_ = State::kExchange;
  exchange_owner_ = shared_from_this();
  expireNever();
  close_after_ = !parser_.head().keep_alive;
  flow_ = shared_->source.make(std::move(head), static_cast<proxy::RequestIo&>(*this));
  flow_->start();
  if (shared_->settings.answer_style == AnswerStyle::kIngress) sendReceipt();
  read();
}

/// Tells the hop before that its request is here: silence then means that this node is gone.
void CallerConnection::sendReceipt() {
  if (state_ != State::kExchange || !output_.empty() || writing_ || continue_sent_) return;
  if (answer_complete_ || forwarding_) return;
  output_.append(kReceiptAnswer);
  if (!writeNow()) flush();
}

/// After a pause of this process the hop before may have given the request up long ago: its
/// end is then right behind it.
bool CallerConnection::hasCallerLeft() {
  if (!received_.empty()) return false;
  char byte = 0;
  error_code error;
  const std::size_t size =
      socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error != asio::error::would_block && size == 0;
}

// ---- The request towards the server

void CallerConnection::startAttempt(const proxy::AttemptPlan& plan) {
  plan_ = plan;
  request_sent_ = false;
  // Without its first bytes the body cannot be sent again: as good as having no connection.
  if (replay_lost_) return failAttemptLater(proxy::AttemptFailure::kCannotReplay);
  if (mustConfirm()) return confirmThenSend();
  openUpstream();
}

/// An ingress asks the hop before for the body only when the request is about to run.
bool CallerConnection::mustConfirm() const {
  return shared_->settings.answer_style == AnswerStyle::kIngress && request_.expects_continue &&
         !continue_sent_ && !requestComplete() && received_.empty();
}

void CallerConnection::confirmThenSend() {
  continue_sent_ = true;
  awaiting_go_ = true;
  output_.append(kContinueAnswer);
  if (!writing_ && !writeNow()) flush();
  expireAfter(kGoTimeout);
}

void CallerConnection::openUpstream() {
  upstream_ = shared_->pool.acquire(plan_.service, plan_.endpoint, *this);
  if (!upstream_) return failAttemptLater(proxy::AttemptFailure::kNoConnectionFree);
  if (upstream_->isReady()) sendRequest();
}

void CallerConnection::failAttemptLater(proxy::AttemptFailure failure) {
  asio::post(socket_.get_executor(), [self = shared_from_this(), attempt = plan_.id, failure] {
    if (self->flow_ && !self->answer_complete_ && self->plan_.id == attempt) {
      self->flow_->onAttemptFailed(attempt, failure);
    }
  });
}

void CallerConnection::onUpstreamReady() { sendRequest(); }

void CallerConnection::sendRequest() {
  upstream_->expectAnswerTo(parser_.head().method == "HEAD");
  appendRequestHead(upstream_->output(), request_, parser_.head(), plan_, shared_->settings.names);
  const bool has_body = parser_.head().framing != BodyFraming::kNone;
  awaiting_confirmation_ = plan_.confirm && has_body;
  if (awaiting_confirmation_) return upstream_->write();
  sendBody();
}

void CallerConnection::sendBody() {
  if (!replay_.empty()) appendBody(replay_);
  // A broken body is refused from a later event; until then, the head alone goes out.
  if (!takeBody()) {
    asio::post(socket_.get_executor(), [self = shared_from_this(), attempt = plan_.id] {
      if (self->flow_ && !self->answer_complete_ && self->plan_.id == attempt) {
        self->refuseBody(refusalOf(self->parser_.failure()));
      }
    });
  }
  upstream_->write();
}

/// Moves received body bytes into the upstream's output. False when the body is malformed.
bool CallerConnection::takeBody() {
  if (!requestComplete()) {
    received_.consume(parser_.parseBody(received_.data(), *this));
    if (parser_.failure() != ParseFailure::kNone) return false;
  }
  if (requestComplete() && !request_sent_) {
    request_sent_ = true;
    if (parser_.head().framing == BodyFraming::kChunked) upstream_->output().append(kLastChunk);
    upstream_->setRequestComplete();
  }
  return true;
}

void CallerConnection::onBody(std::string_view piece) {
  if (!upstream_) return;  // The answer is made: the rest is only read off.
  if (!replay_lost_ && replay_.size() + piece.size() <= shared_->settings.replay_bytes) {
    replay_.append(piece);
  } else {
    replay_lost_ = true;
    replay_.clear();
  }
  appendBody(piece);
}

void CallerConnection::appendBody(std::string_view piece) {
  if (parser_.head().framing == BodyFraming::kChunked) {
    appendChunk(upstream_->output(), piece);
  } else {
    upstream_->output().append(piece);
  }
}

void CallerConnection::onUpstreamWritten() {
  if (!request_sent_) pumpBody();
}

/// Sends on what was received of the body, or waits for more.
void CallerConnection::pumpBody() {
  awaiting_body_ = false;
  if (awaiting_confirmation_) return;
  if (!upstream_ || !upstream_->isReady() || upstream_->isWriting()) return;
  if (!takeBody()) return refuseBody(refusalOf(parser_.failure()));
  if (!upstream_->output().empty()) {
    expireNever();
    return upstream_->write();
  }
  if (request_sent_) return;
  if (request_.expects_continue && !continue_sent_ && !forwarding_) {
    continue_sent_ = true;
    output_.append(kContinueAnswer);
    flush();
  }
  awaiting_body_ = true;
  expireAfter(shared_->settings.body_timeout);
  read();
}

void CallerConnection::cancelAttempt(proxy::AttemptId) {
  distrusted_ = true;
  awaiting_go_ = false;
  if (!upstream_) return;
  upstream_->abandon();
  upstream_.reset();
}

void CallerConnection::discardAnswer(proxy::AttemptId) {
  if (!upstream_) return;
  upstream_->discard();
  upstream_.reset();
}

bool CallerConnection::bytesSent(proxy::AttemptId) const {
  return upstream_ && upstream_->sentBytes() && !awaiting_confirmation_;
}

// ---- The answer

void CallerConnection::onUpstreamInterim(unsigned status) {
  flow_->onAttemptReceived(plan_.id);
  if (status != kContinueStatus || !awaiting_confirmation_ || !upstream_) return;
  awaiting_confirmation_ = false;
  sendBody();
}

void CallerConnection::onUpstreamHead(const MessageHead& head) {
  answer_head_ = &head;
  collected_.clear();
  collecting_ = isCollectable(head);
  if (collecting_) return;
  flow_->onAnswerHead(plan_.id, summarizeAnswer(head));
}

bool CallerConnection::isCollectable(const MessageHead& head) const {
  const std::size_t bound = shared_->settings.whole_answer_bytes;
  if (bound == 0) return false;
  return head.framing != BodyFraming::kLength || head.content_length <= bound;
}

/// The answer is longer than what is held: from here on it is streamed.
void CallerConnection::stopCollecting() {
  collecting_ = false;
  flow_->onAnswerHead(plan_.id, summarizeAnswer(*answer_head_));
  if (!forwarding_) return;
  const std::string held = std::move(collected_);
  collected_.clear();
  onUpstreamBody(held);
}

void CallerConnection::forwardAnswer(proxy::AttemptId) {
  forwarding_ = true;
  AnswerContext context = answerContext();
  if (collecting_) {
    answer_framing_ = BodyFraming::kLength;
    context.whole_length = collected_.size();
  } else {
    upstream_->watchStalls();
    answer_framing_ = framingTowards(*answer_head_, parser_.head().is_http_1_1);
    if (answer_framing_ == BodyFraming::kUntilClose) context.close = close_after_ = true;
  }
  appendAnswerHead(output_, *answer_head_, context);
  if (collecting_) output_.append(collected_);
}

AnswerContext CallerConnection::answerContext() {
  if (shared_->stopping) close_after_ = true;
  AnswerContext context;
  context.names = &shared_->table->names();
  context.style = shared_->settings.answer_style;
  context.exact_retry_after = shared_->settings.exact_retry_after;
  context.request_id = request_.request_id;
  if (flow_) context.version = flow_->configurationVersion();
  if (flow_) context.hop_load = flow_->hopLoad();
  context.caller_is_http_1_1 = parser_.head().is_http_1_1;
  context.close = close_after_;
  context.head_request = parser_.headComplete() && parser_.head().method == "HEAD";
  return context;
}

void CallerConnection::onUpstreamBody(std::string_view piece) {
  if (collecting_) {
    collected_.append(piece);
    if (collected_.size() > shared_->settings.whole_answer_bytes) stopCollecting();
    return;
  }
  if (!forwarding_) return;
  if (answer_framing_ == BodyFraming::kChunked) {
    appendChunk(output_, piece);
  } else {
    output_.append(piece);
  }
}

void CallerConnection::onUpstreamPause() {
  if (collecting_) return upstream_->resume();
  if (!writing_ && writeNow()) return upstream_->resume();
  flush();
}

void CallerConnection::onUpstreamComplete() {
  // The connection owns the answer's head, which is needed below.
  const std::shared_ptr<UpstreamConnection> connection = std::move(upstream_);
  upstream_.reset();
  if (collecting_) {
    distrusted_ = false;
    flow_->onAnswerHead(plan_.id, summarizeAnswer(*answer_head_));
    collecting_ = false;
    if (!forwarding_) {  // Tried elsewhere, or answered by the flow itself.
      if (distrusted_ && connection->isIdle()) connection->close();
      return;
    }
  }
  if (answer_framing_ == BodyFraming::kChunked) output_.append(kLastChunk);
  answer_complete_ = true;
  flow_->onAnswerComplete(plan_.id);
  if (!writing_ && writeNow()) return finishExchange();
  flush();
}

void CallerConnection::onUpstreamFailed(UpstreamFailure failure) {
  upstream_.reset();
  collecting_ = false;
  if (awaiting_confirmation_) {
    awaiting_confirmation_ = false;
    return flow_->onAttemptFailed(plan_.id, proxy::AttemptFailure::kConnectFailed);
  }
  if (!forwarding_) return flow_->onAttemptFailed(plan_.id, attemptFailureOf(failure));
  ++shared_->statistics.answers_cut;
  flow_->onAnswerCut(plan_.id);
  cut();
}

void CallerConnection::answerLocally(const proxy::LocalAnswer& answer) { writeLocal(answer); }

void CallerConnection::writeLocal(const proxy::LocalAnswer& answer) {
  // The connection can be kept if the rest of the request is already here.
  if (!requestComplete() && parser_.failure() == ParseFailure::kNone && parser_.headComplete()) {
    received_.consume(parser_.parseBody(received_.data(), *this));
  }
  if (!requestComplete()) close_after_ = true;
  awaiting_body_ = false;
  answer_complete_ = true;
  appendLocalAnswer(output_, answer, answerContext());
  flush();
}

/// Refuses a request that has no flow.
void CallerConnection::refuse(RefusalReason reason) {
  ++shared_->statistics.refusals[static_cast<std::size_t>(reason)];
  state_ = State::kExchange;
  close_after_ = true;
  writeLocal({statusOf(reason), proxy::Outcome::kNotRun, std::string(reasonWord(reason)), {}});
}

/// Refuses a request whose body turned out wrong or slow while it was being sent on.
void CallerConnection::refuseBody(RefusalReason reason) {
  ++shared_->statistics.refusals[static_cast<std::size_t>(reason)];
  const bool may_have_run = !awaiting_go_ && (plan_.id > 1 || bytesSent(plan_.id));
  giveUpFlow();
  close_after_ = true;
  if (forwarding_) return cut();
  const auto outcome = may_have_run ? proxy::Outcome::kUnknown : proxy::Outcome::kNotRun;
  writeLocal({statusOf(reason), outcome, std::string(reasonWord(reason)), {}});
}

/// Writes as much as the socket takes at once. True when nothing is left to write.
bool CallerConnection::writeNow() {
  if (output_.empty()) return true;
  error_code error;
  const std::size_t written = socket_.write_some(asio::buffer(output_), error);
  output_.erase(0, written);
  return output_.empty();
}

void CallerConnection::flush() {
  if (writing_ || output_.empty() || state_ == State::kClosed) return;
  written_.swap(output_);
  writing_ = true;
  expireAfter(shared_->settings.write_timeout);
  asio::async_write(socket_, asio::buffer(written_),
                    [self = shared_from_this()](const error_code& error, std::size_t) {
                      self->onWritten(error);
                    });
}

void CallerConnection::onWritten(const error_code& error) {
  writing_ = false;
  written_.clear();
  if (state_ != State::kExchange) return;
  if (error) {
    ++shared_->statistics.callers_gone;
    giveUpFlow();
    return close();
  }
  expireNever();
  if (awaiting_body_) expireAfter(shared_->settings.body_timeout);
  if (!output_.empty()) return flush();
  if (answer_complete_) return finishExchange();
  if (forwarding_ && upstream_) upstream_->resume();
}

void CallerConnection::finishExchange() {
  const std::shared_ptr<CallerConnection> self = std::move(exchange_owner_);
  ++shared_->statistics.answers;
  if (!requestComplete()) close_after_ = true;
  flow_.reset();
  request_.clear();
  replay_.clear();
  plan_.id = 0;
  plan_.headers_to_set.clear();
  answer_framing_ = BodyFraming::kNone;
  answer_head_ = nullptr;
  collecting_ = false;
  replay_lost_ = request_sent_ = awaiting_body_ = continue_sent_ = false;
  awaiting_confirmation_ = awaiting_go_ = false;
  forwarding_ = answer_complete_ = false;
  if (close_after_) return closeGracefully();
  awaitRequest();
}

// ---- Ends

void CallerConnection::onDeadline() {
  const std::shared_ptr<CallerConnection> self = shared_from_this();
  switch (state_) {
    case State::kIdle:
      return closeGracefully();
    case State::kHead:
      return refuse(RefusalReason::kSlowHead);
    case State::kExchange:
      if ((awaiting_body_ || awaiting_go_) && !writing_)
        return refuseBody(RefusalReason::kSlowBody);
      ++shared_->statistics.callers_gone;
      return cut();
    case State::kLingering:
      return close();
    case State::kClosed:
      return;
  }
}

void CallerConnection::giveUpFlow() {
  if (!flow_) return;
  flow_->onCallerGone();
  if (upstream_) cancelAttempt(plan_.id);
}

void CallerConnection::closeIfIdle() {
  if (state_ == State::kIdle) closeGracefully();
}

/// Ends the stream, then reads on until the caller closes too: closing with unread bytes would
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

/// A reset, so that no caller takes what it received for a whole answer.
void CallerConnection::cut() {
  if (state_ == State::kClosed) return;
  giveUpFlow();
  error_code ignored;
  socket_.set_option(Tcp::socket::linger(true, 0), ignored);
  close();
}

void CallerConnection::close() {
  if (state_ == State::kClosed) return;
  const std::shared_ptr<CallerConnection> self = std::move(exchange_owner_);
  state_ = State::kClosed;
  expireNever();
  flow_.reset();
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace coursepond::runtime
