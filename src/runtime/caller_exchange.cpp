#include "runtime/caller_exchange.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <limits>
#include <utility>

#include "runtime/buffer_memory.h"
#include "runtime/caller_connection.h"

namespace coursepond::runtime {

namespace asio = boost::asio;

namespace {

/// How long the previous hop may take to send its body after this node asked for it.
constexpr Duration kGoAheadTimeout = std::chrono::seconds(1);
constexpr unsigned kContinueStatus = 100;
/// Smaller bodies fit into one write and bypass the body gate.
constexpr std::uint64_t kLargeBodyBytes = 16384;
/// A body of up to this size is awaited before the request starts, so that the request is
/// identified from the start. This covers most requests and does not delay the start much.
constexpr std::size_t kIdentifiedAtStart = 4096;

ParserLimits requestLimits(const ProxyServerShared& shared) {
  const ProxyServerSettings& settings = shared.settings;
  ParserLimits limits;
  limits.table = shared.table.get();
  limits.head_bytes = settings.head_bytes;
  if (settings.body_bytes > 0) limits.body_bytes = settings.body_bytes;
  return limits;
}

/// An egress identifies the requests whose body it keeps. An ingress identifies all of them,
/// because its server may end during any of them.
RequestBodySettings bodySettings(const ProxyServerSettings& settings) {
  return {settings.replay_bytes, settings.answer_style == AnswerStyle::kIngress,
          settings.held_body_bytes};
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

/// Returns whether a server made the answer. A refusal by the next hop itself does not acknowledge
/// the request.
bool isFromServer(const MessageHead& head) { return head.fields.find(FieldRole::kOutcome).empty(); }

}  // namespace

CallerExchange::CallerExchange(CallerConnection& connection)
    : connection_(connection),
      shared_(connection.shared()),
      parser_(MessageParser::Kind::kRequest, requestLimits(shared_)),
      body_(bodySettings(shared_.settings), shared_.held_bodies) {}

// ---- Start

std::optional<RefusalReason> CallerExchange::check() {
  head_ = proxy::RequestHead();
  // The request may have waited in the buffer behind others since.
  head_received_ = connection_.lastRead();
  const auto refusal = checkRequest(parser_.head(), shared_.request_ids, request_, head_);
  if (refusal) return refusal;
  const auto& source_allows = shared_.source.may_run_concurrently;
  may_run_concurrently_ =
      source_allows && parser_.head().framing == BodyFraming::kNone && source_allows(head_);
  return std::nullopt;
}

void CallerExchange::begin() {
  close_after_ = !parser_.head().keep_alive;
  if (close_after_) connection_.stopStartingRequests();
  if (shared_.settings.answer_style != AnswerStyle::kEgress) return startFlow();
  identifyThenBegin();
}

/// The time that the request has waited here, for earlier requests of its connection or for its own
/// body, counts against its deadline.
void CallerExchange::startFlow() {
  if (head_.deadline) *head_.deadline -= shared_.environment.now() - head_received_;
  flow_ = shared_.source.make(std::move(head_), static_cast<proxy::RequestIo&>(*this));
  is_starting_ = true;
  flow_->start();
  is_starting_ = false;
  if (shared_.settings.answer_style == AnswerStyle::kIngress) sendReceipt();
}

/// Takes the first part of the body, which is the whole body of most requests. The bytes are kept
/// for the attempts.
void CallerExchange::identifyThenBegin() {
  if (!requestComplete() && !request_.expects_continue) {
    ReceiveBuffer& received = connection_.received();
    received.consume(parser_.parseBody(received.data(), *this));
    if (parser_.failure() != ParseFailure::kNone) return refuseBody(refusalOf(parser_.failure()));
  }
  if (!isIdentified()) return awaitIdentity();
  if (std::exchange(awaiting_identity_, false)) connection_.awaitCaller(*this);
  head_.fingerprints = fingerprints();
  startFlow();
}

/// A body that is awaited before the request starts is digested at once, others when that is asked
/// for.
RequestFingerprints CallerExchange::fingerprints() const {
  const std::string caller = head_.key_digest ? head_.key_digest->bytes() : std::string();
  RequestFingerprints known;
  known.head = fingerprintOfHead({head_.method, head_.host, request_.origin_target, caller});
  const bool is_short = body_.received() <= kIdentifiedAtStart;
  if (const auto body = is_short ? bodyDigest() : std::nullopt) known.addBody(*body);
  const bool has_body = parser_.head().framing != BodyFraming::kNone;
  if (!has_body) known.head = RequestFingerprint();
  return known;
}

/// A request whose caller waits for 100 Continue starts without its body.
bool CallerExchange::isIdentified() const {
  return requestComplete() || request_.expects_continue || body_.received() >= kIdentifiedAtStart;
}

void CallerExchange::awaitIdentity() {
  awaiting_identity_ = true;
  connection_.awaitCaller(*this);
  connection_.read();
}

std::optional<Digest> CallerExchange::bodyDigest() const {
  if (!requestComplete()) return std::nullopt;
  return body_.digest();
}

bool CallerExchange::awaitBody() {
  if (awaiting_whole_body_) return true;
  const MessageHead& head = parser_.head();
  const bool is_too_long = head.framing == BodyFraming::kLength &&
                           head.content_length > shared_.settings.held_body_bytes;
  if (requestComplete() || is_too_long || !body_.mayHoldMore()) return false;
  body_.beginHold();
  awaiting_whole_body_ = true;
  // The flow may be starting the request.
  asio::post(connection_.executor(),
             [self = shared_from_this(), connection = connection_.shared_from_this()] {
               const bool is_open = self->flow_ && !self->answer_complete_;
               if (is_open && self->awaiting_whole_body_) self->collectBody();
             });
  return true;
}

/// Receives the body until it is whole or no more of it may be held.
void CallerExchange::collectBody() {
  ReceiveBuffer& received = connection_.received();
  received.consume(parser_.parseBody(received.data(), *this));
  if (parser_.failure() != ParseFailure::kNone) return refuseBody(refusalOf(parser_.failure()));
  if (requestComplete() || !body_.mayHoldMore()) {
    awaiting_whole_body_ = false;
    body_.endHold();
    connection_.awaitCaller(*this);
    return flow_->onBodyAwaited();
  }
  if (request_.expects_continue && !std::exchange(continue_sent_, true)) {
    output_.append(kContinueAnswer);
    connection_.flush(*this);
  }
  connection_.awaitCaller(*this);
  connection_.read();
}

/// Confirms to the previous hop that the request has arrived. Silence after that means that this
/// node is gone.
void CallerExchange::sendReceipt() {
  if (!flow_ || !output_.empty() || connection_.isWriting() || continue_sent_) return;
  if (answer_complete_ || forwarding_) return;
  output_.append(kReceiptAnswer);
  if (!connection_.writeNow(*this)) connection_.flush(*this);
}

void CallerExchange::onBytes() {
  if (awaiting_identity_) {
    identifyThenBegin();
  } else if (awaiting_whole_body_) {
    collectBody();
  } else if (awaiting_go_ahead_) {
    awaiting_go_ahead_ = false;
    connection_.awaitCaller(*this);
    openUpstream();
  } else if (awaiting_body_) {
    pumpBody();
  }
}

Duration CallerExchange::callerTimeout() const {
  if (awaiting_go_ahead_) return kGoAheadTimeout;
  if (awaiting_identity_) {
    const Duration body_timeout = shared_.settings.body_timeout;
    return std::min(body_timeout, head_.deadline.value_or(body_timeout));
  }
  const bool awaits_bytes = awaiting_body_ || awaiting_whole_body_;
  return awaits_bytes ? shared_.settings.body_timeout : Duration(0);
}

// ---- Sending the request to the server

void CallerExchange::startAttempt(const proxy::AttemptPlan& plan) {
  plan_ = plan;
  request_sent_ = awaiting_head_written_ = false;
  collecting_ = false;
  // Without its first bytes the body cannot be sent again. Report this like a failed connection.
  if (!body_.isKept()) return failAttemptLater(proxy::AttemptFailure::kCannotReplay);
  if (mustConfirm()) return confirmThenSend();
  openUpstream();
}

/// An ingress requests the body from the previous hop only when the request is about to run.
bool CallerExchange::mustConfirm() const {
  return shared_.settings.answer_style == AnswerStyle::kIngress && request_.expects_continue &&
         !continue_sent_ && !requestComplete() && connection_.received().empty();
}

void CallerExchange::confirmThenSend() {
  if (!hasLargeBody()) return confirm();
  awaiting_gate_ = true;
  shared_.body_gate.enter(
      [weak = weak_from_this(), connection = connection_.weak_from_this(), attempt = plan_.id] {
        const std::shared_ptr<CallerConnection> alive = connection.lock();
        const std::shared_ptr<CallerExchange> self = weak.lock();
        return alive && self && self->takeTurnAtGate(attempt);
      });
}

bool CallerExchange::hasLargeBody() const {
  const MessageHead& head = parser_.head();
  return head.framing != BodyFraming::kLength || head.content_length > kLargeBodyBytes;
}

bool CallerExchange::takeTurnAtGate(proxy::AttemptId attempt) {
  if (!awaiting_gate_ || plan_.id != attempt) return false;
  awaiting_gate_ = false;
  holds_gate_ = true;
  confirm();
  return true;
}

void CallerExchange::leaveGate() {
  awaiting_gate_ = false;
  if (std::exchange(holds_gate_, false)) shared_.body_gate.leave();
}

void CallerExchange::confirm() {
  continue_sent_ = true;
  awaiting_go_ahead_ = true;
  output_.append(kContinueAnswer);
  if (!connection_.writeNow(*this)) connection_.flush(*this);
  connection_.awaitCaller(*this);
}

void CallerExchange::openUpstream() {
  upstream_ = shared_.pool.acquire(plan_.service, plan_.endpoint, *this);
  if (!upstream_) return failAttemptLater(proxy::AttemptFailure::kNoConnectionFree);
  if (upstream_->isReady()) sendRequest();
}

/// Runs `action` in a later event, provided that the attempt is still the current one then.
template <typename Action>
void CallerExchange::postForAttempt(Action action) {
  asio::post(connection_.executor(),
             [self = shared_from_this(), connection = connection_.shared_from_this(),
              attempt = plan_.id, action = std::move(action)] {
               const bool is_current = self->flow_ && !self->answer_complete_;
               if (is_current && self->plan_.id == attempt) action(*self);
             });
}

void CallerExchange::failAttemptLater(proxy::AttemptFailure failure) {
  postForAttempt([failure](CallerExchange& exchange) {
    exchange.flow_->onAttemptFailed(exchange.plan_.id, failure);
  });
}

void CallerExchange::onUpstreamReady() { sendRequest(); }

void CallerExchange::sendRequest() {
  // The caller is known to be there when the request starts, but the request may have waited since.
  if (!is_starting_ && connection_.hasCallerLeft()) return connection_.endReadingLater();
  upstream_->expectAnswerTo(parser_.head().method == "HEAD");
  appendRequestHead(upstream_->output(), request_, parser_.head(), plan_, shared_.settings.names);
  const bool has_body = parser_.head().framing != BodyFraming::kNone;
  awaiting_confirmation_ = plan_.confirm && has_body;
  // The next hop acknowledges the head, which must not wait for turns of the body.
  awaiting_head_written_ = !awaiting_confirmation_ && schedulesBody();
  if (awaiting_confirmation_ || awaiting_head_written_) return upstream_->write();
  sendBody();
}

/// A body without a length is small until more of it has arrived: a small one must not wait behind
/// large output.
bool CallerExchange::schedulesBody() const {
  const ProxyServerSettings& settings = shared_.settings;
  if (settings.upstream_link == nullptr || !settings.upstream_link->isActive()) return false;
  if (plan_.endpoint.address.host == settings.upstream_own_host) return false;
  const MessageHead& head = parser_.head();
  const std::uint64_t size =
      head.framing == BodyFraming::kLength ? head.content_length : body_.received();
  return settings.upstream_link->isLarge(size);
}

void CallerExchange::sendBody() {
  if (!body_.bytes().empty()) appendBody(body_.bytes());
  // The flow may be starting the attempt, so the attempt ends in a later event.
  if (!takeBody()) return postForAttempt([](CallerExchange& exchange) { exchange.stopBody(); });
  upstream_->write();
}

/// Moves received body bytes into the upstream connection's output, which must not be written then
/// if this returns false: the body is malformed, or the flow withholds its last part.
bool CallerExchange::takeBody() {
  if (!requestComplete()) {
    ReceiveBuffer& received = connection_.received();
    received.consume(parser_.parseBody(received.data(), *this));
    if (parser_.failure() != ParseFailure::kNone) return false;
  }
  const bool is_last_part = requestComplete() && !request_sent_;
  if (is_last_part && !flow_->mayCompleteRequest(plan_.id)) return false;
  if (schedulesBody()) upstream_->scheduleOutput(*shared_.settings.upstream_link, flow_->dueAt());
  if (requestComplete()) leaveGate();
  if (requestComplete() && !request_sent_) {
    request_sent_ = true;
    if (parser_.head().framing == BodyFraming::kChunked) upstream_->output().append(kLastChunk);
    upstream_->setRequestComplete();
  }
  return true;
}

/// Ends the request after takeBody() returned false.
void CallerExchange::stopBody() {
  if (parser_.failure() != ParseFailure::kNone) return refuseBody(refusalOf(parser_.failure()));
  // A server that answers early gets no more of the body. Its answer goes on.
  if (!forwarding_) flow_->onRequestWithheld(plan_.id);
}

void CallerExchange::onBody(std::string_view piece) {
  const bool is_discarded = !upstream_ && flow_ && !awaiting_whole_body_;  // Answered already.
  if (is_discarded) return body_.discardRest();
  body_.add(piece);
  if (upstream_) appendBody(piece);
}

void CallerExchange::appendBody(std::string_view piece) {
  if (parser_.head().framing == BodyFraming::kChunked) {
    appendChunk(upstream_->output(), piece);
  } else {
    upstream_->output().append(piece);
  }
}

void CallerExchange::onUpstreamWritten() {
  if (std::exchange(awaiting_head_written_, false)) return sendBody();
  if (!request_sent_) pumpBody();
}

/// Forwards the received part of the body, or waits for more.
void CallerExchange::pumpBody() {
  awaiting_body_ = false;
  if (awaiting_confirmation_) return;
  if (!upstream_ || !upstream_->isReady() || upstream_->isWriting()) return;
  if (!takeBody()) return stopBody();
  if (!upstream_->output().empty()) {
    connection_.awaitCaller(*this);
    return upstream_->write();
  }
  if (request_sent_) return;
  if (request_.expects_continue && !continue_sent_ && !forwarding_) {
    continue_sent_ = true;
    output_.append(kContinueAnswer);
    connection_.flush(*this);
  }
  awaiting_body_ = true;
  connection_.awaitCaller(*this);
  connection_.read();
}

/// Possible once the whole request was sent, and before the head of an answer arrives. A short
/// answer to the kept attempt is collected and then reported.
bool CallerExchange::keepAttempt(proxy::AttemptId) {
  const bool is_sent = request_sent_ && upstream_ && upstream_->isReady();
  if (!is_sent || collecting_ || kept_) return false;
  kept_ = std::make_unique<KeptAttempt>(static_cast<KeptAttemptOwner&>(*this), plan_,
                                        std::move(upstream_));
  upstream_.reset();
  return true;
}

void CallerExchange::resumeAttempt(proxy::AttemptId attempt) {
  if (!isKept(attempt)) return;
  const std::unique_ptr<KeptAttempt> kept = std::move(kept_);
  plan_ = kept->plan();
  upstream_ = kept->release();
  if (upstream_) upstream_->changeUser(*this);
  request_sent_ = true;
  awaiting_body_ = awaiting_confirmation_ = false;
  answer_head_ = kept->head();
  collecting_ = answer_head_ != nullptr;
  collected_ = kept->takeBody();
}

void CallerExchange::cancelAttempt(proxy::AttemptId attempt) {
  attempt_cancelled_ = true;
  if (isKept(attempt)) return kept_.reset();
  awaiting_go_ahead_ = false;
  leaveGate();
  if (!upstream_) return;
  upstream_->abandon();
  upstream_.reset();
}

void CallerExchange::discardAnswer(proxy::AttemptId attempt) {
  if (isKept(attempt)) {
    if (const auto connection = kept_->release()) connection->discard();
    return kept_.reset();
  }
  if (!upstream_) return;
  upstream_->discard();
  upstream_.reset();
}

/// Possible while an answer is reported that was collected. Its connection is free by then.
bool CallerExchange::holdAnswer(proxy::AttemptId attempt) {
  if (isKept(attempt) && kept_->isWhole()) {
    held_ = std::make_unique<HeldAnswer>(HeldAnswer{*kept_->head(), kept_->takeBody()});
    kept_.reset();
    return true;
  }
  if (!collecting_ || upstream_ || plan_.id != attempt) return false;
  held_ = std::make_unique<HeldAnswer>(HeldAnswer{*answer_head_, std::move(collected_)});
  collected_.clear();
  return true;
}

void CallerExchange::answerWithHeld() {
  const std::unique_ptr<HeldAnswer> held = std::move(held_);
  endRequestBody();
  AnswerContext context = answerContext();
  context.whole_length = held->body.size();
  noteAnswerSize(held->body.size());
  appendAnswerHead(output_, held->head, context);
  output_.append(held->body);
  connection_.flush(*this);
}

bool CallerExchange::bytesSent(proxy::AttemptId) const {
  return upstream_ && upstream_->sentBytes() && !awaiting_confirmation_;
}

// ---- Sending the answer to the caller

void CallerExchange::onUpstreamInterim(unsigned status) {
  flow_->onAttemptReceived(plan_.id);
  if (status != kContinueStatus || !awaiting_confirmation_ || !upstream_) return;
  awaiting_confirmation_ = false;
  sendBody();
}

/// Detects an answer that belongs to another request. Servers occasionally send a surplus answer,
/// which arrives in the place of the next one. Treating it as the answer to this request would
/// abort work at the server and leave the caller without an answer. It is recognized by its request
/// id, if the servers are known to return the id.
bool CallerExchange::isSurplusAnswer(const MessageHead& head,
                                     const UpstreamConnection& upstream) const {
  if (shared_.settings.answer_style == AnswerStyle::kDirect) return false;
  const std::string_view id = head.fields.find(FieldRole::kRequestId);
  return !id.empty() && id != request_.request_id && !upstream.hasSkippedAnswer();
}

void CallerExchange::onUpstreamHead(const MessageHead& head) {
  if (isSurplusAnswer(head, *upstream_)) return upstream_->skipAnswer();
  answer_head_ = &head;
  collected_.clear();
  collecting_ = isCollectable(head);
  if (!collecting_) return reportAnswerHead();
  // The flow must not take the next hop for silent while the answer arrives.
  if (isFromServer(head)) flow_->onAttemptReceived(plan_.id);
}

void CallerExchange::onKeptReceived() { flow_->onAttemptReceived(kept_->plan().id); }

bool CallerExchange::onKeptHead(const MessageHead& head) {
  if (isSurplusAnswer(head, kept_->connection())) {
    kept_->connection().skipAnswer();
    return false;
  }
  const proxy::AttemptId attempt = kept_->plan().id;
  const bool has_length =
      head.framing == BodyFraming::kLength || head.framing == BodyFraming::kNone;
  if (has_length && isCollectable(head)) {
    if (isFromServer(head)) flow_->onAttemptReceived(attempt);
    return true;
  }
  flow_->onAnswerHead(attempt, summarizeAnswer(head));
  if (upstream_ && plan_.id == attempt) onUpstreamHead(head);
  return false;
}

void CallerExchange::onKeptAnswer(const std::shared_ptr<UpstreamConnection>& connection) {
  const std::shared_ptr<CallerExchange> self = shared_from_this();
  const proxy::AttemptId attempt = kept_->plan().id;
  proxy::AnswerHead answer = summarizeAnswer(*kept_->head());
  answer.body_bytes = kept_->body().size();
  attempt_cancelled_ = false;
  flow_->onAnswerHead(attempt, answer);
  const bool is_resumed = plan_.id == attempt && collecting_ && !upstream_;
  if (is_resumed) return onAnswerWhole(connection);
  if (attempt_cancelled_ && connection->isIdle()) connection->close();
}

void CallerExchange::onKeptFailed(UpstreamFailure failure) {
  const proxy::AttemptId attempt = kept_->plan().id;
  kept_.reset();
  flow_->onAttemptFailed(attempt, attemptFailureOf(failure));
}

/// Includes the size of the body, as far as it is known.
void CallerExchange::reportAnswerHead() {
  proxy::AnswerHead answer = summarizeAnswer(*answer_head_);
  answer.body_bytes = std::max<std::uint64_t>(answer.body_bytes, collected_.size());
  flow_->onAnswerHead(plan_.id, answer);
}

bool CallerExchange::isCollectable(const MessageHead& head) const {
  const std::size_t bound = shared_.settings.buffered_answer_bytes;
  if (bound == 0) return false;
  return head.framing != BodyFraming::kLength || head.content_length <= bound;
}

/// The answer exceeds the collection limit and is streamed from here on.
void CallerExchange::stopCollecting() {
  collecting_ = false;
  reportAnswerHead();
  if (!forwarding_) return;
  const std::string held = std::move(collected_);
  collected_.clear();
  onUpstreamBody(held);
}

void CallerExchange::forwardAnswer(proxy::AttemptId) {
  forwarding_ = true;
  AnswerContext context = answerContext();
  if (collecting_) {
    answer_framing_ = BodyFraming::kLength;
    context.whole_length = collected_.size();
  } else {
    const MessageHead& head = *answer_head_;
    const bool has_length = head.framing == BodyFraming::kLength;
    upstream_->watchAnswer(has_length ? TimePoint::max() : flow_->latestEnd());
    unreceived_bytes_ = has_length ? head.content_length : 0;
    answer_framing_ = framingTowards(*answer_head_, parser_.head().is_http_1_1);
    if (answer_framing_ == BodyFraming::kUntilClose) context.close = close_after_ = true;
  }
  // An answer that is not collected is long, or its length is not known.
  noteAnswerSize(collecting_ ? collected_.size() : std::numeric_limits<std::uint64_t>::max());
  appendAnswerHead(output_, *answer_head_, context);
  if (!collecting_) return;
  output_.append(collected_);
  clearBuffer(collected_);
}

void CallerExchange::noteAnswerSize(std::uint64_t bytes) {
  const proxy::LinkScheduler* const link = connection_.link();
  has_large_answer_ = link != nullptr && link->isLarge(bytes);
  if (has_large_answer_ && flow_) due_ = flow_->dueAt();
}

AnswerContext CallerExchange::answerContext() {
  // Requests that were started after this one are still answered: only the last answer may end the
  // connection.
  if (shared_.stopping && connection_.isLast(*this)) close_after_ = true;
  if (close_after_) connection_.stopStartingRequests();
  AnswerContext context;
  context.names = &shared_.table->names();
  context.style = shared_.settings.answer_style;
  context.exact_retry_after = shared_.settings.exact_retry_after;
  context.request_id = request_.request_id;
  if (flow_) context.version = flow_->configurationVersion();
  if (flow_) context.hop_load = flow_->hopLoad();
  context.caller_is_http_1_1 = parser_.head().is_http_1_1;
  context.close = close_after_;
  context.head_request = parser_.headComplete() && parser_.head().method == "HEAD";
  return context;
}

void CallerExchange::onUpstreamBody(std::string_view piece) {
  if (collecting_) {
    collected_.append(piece);
    if (collected_.size() > shared_.settings.buffered_answer_bytes) stopCollecting();
    return;
  }
  if (!forwarding_) return;
  unreceived_bytes_ -= std::min<std::uint64_t>(unreceived_bytes_, piece.size());
  if (answer_framing_ == BodyFraming::kChunked) {
    appendChunk(output_, piece);
  } else {
    output_.append(piece);
  }
}

/// Does not read further while the answer waits for earlier ones; onWritten() resumes reading.
void CallerExchange::onUpstreamPause() {
  if (collecting_) return upstream_->resume();
  if (connection_.writeNow(*this)) return upstream_->resume();
  connection_.flush(*this);
}

void CallerExchange::onUpstreamComplete() {
  const std::shared_ptr<CallerExchange> self = shared_from_this();
  // The upstream connection owns the answer's head, which is needed below.
  const std::shared_ptr<UpstreamConnection> connection = std::move(upstream_);
  upstream_.reset();
  onAnswerWhole(connection);
}

/// The answer of the current attempt is whole; `connection` is back with its owner.
void CallerExchange::onAnswerWhole(const std::shared_ptr<UpstreamConnection>& connection) {
  if (collecting_) {
    attempt_cancelled_ = false;
    const proxy::AttemptId attempt = plan_.id;
    reportAnswerHead();
    // Another attempt may be the current one now, with an answer that is being collected.
    if (plan_.id == attempt) collecting_ = false;
    if (!forwarding_) {  // Retried, or answered by the flow.
      if (attempt_cancelled_ && connection->isIdle()) connection->close();
      return;
    }
  }
  if (answer_framing_ == BodyFraming::kChunked) output_.append(kLastChunk);
  answer_complete_ = true;
  flow_->onAnswerComplete(plan_.id);
  if (connection_.writeNow(*this)) return connection_.onDone(*this);
  connection_.flush(*this);
}

void CallerExchange::onUpstreamFailed(UpstreamFailure failure) {
  upstream_.reset();
  collecting_ = false;
  if (awaiting_confirmation_) {
    awaiting_confirmation_ = false;
    return flow_->onAttemptFailed(plan_.id, proxy::AttemptFailure::kConnectFailed);
  }
  if (!forwarding_) return flow_->onAttemptFailed(plan_.id, attemptFailureOf(failure));
  ++shared_.statistics.answers_cut;
  flow_->onAnswerCut(plan_.id);
  connection_.cut();
}

void CallerExchange::answerLocally(const proxy::LocalAnswer& answer) { writeLocal(answer); }

void CallerExchange::writeLocal(const proxy::LocalAnswer& answer) {
  endRequestBody();
  appendLocalAnswer(output_, answer, answerContext());
  connection_.flush(*this);
}

/// Called when the answer is complete without an attempt that reads the rest of the body. The
/// connection can be kept if that rest has already arrived.
void CallerExchange::endRequestBody() {
  if (!requestComplete() && parser_.failure() == ParseFailure::kNone && parser_.headComplete()) {
    ReceiveBuffer& received = connection_.received();
    received.consume(parser_.parseBody(received.data(), *this));
  }
  if (!requestComplete()) close_after_ = true;
  leaveGate();
  awaiting_body_ = awaiting_identity_ = awaiting_whole_body_ = false;
  answer_complete_ = true;
}

void CallerExchange::refuse(RefusalReason reason) {
  ++shared_.statistics.refusals[static_cast<std::size_t>(reason)];
  close_after_ = true;
  writeLocal({statusOf(reason), proxy::Outcome::kNotRun, std::string(reasonName(reason)), {}});
}

/// Refuses a request whose body turned out to be malformed or too slow while it was being
/// forwarded.
void CallerExchange::refuseBody(RefusalReason reason) {
  ++shared_.statistics.refusals[static_cast<std::size_t>(reason)];
  const bool may_have_run = !awaiting_go_ahead_ && (plan_.id > 1 || bytesSent(plan_.id));
  giveUp();
  close_after_ = true;
  if (forwarding_) return connection_.cut();
  const auto outcome = may_have_run ? proxy::Outcome::kUnknown : proxy::Outcome::kNotRun;
  writeLocal({statusOf(reason), outcome, std::string(reasonName(reason)), {}});
}

// ---- Ordering and completion

void CallerExchange::onTurn() {
  const std::shared_ptr<CallerExchange> self = shared_from_this();
  if (!connection_.writeNow(*this)) return connection_.flush(*this);
  if (answer_complete_) return connection_.onDone(*this);
  onWritten();
}

void CallerExchange::onWritten() {
  if (forwarding_ && upstream_) upstream_->resume();
}

void CallerExchange::giveUp() {
  if (flow_ && !answer_complete_) flow_->onCallerGone();
  if (upstream_) cancelAttempt(plan_.id);
  kept_.reset();
}

void CallerExchange::drop() {
  giveUp();
  leaveGate();
  flow_.reset();
}

void CallerExchange::reset() {
  leaveGate();
  parser_.reset();
  flow_.reset();
  kept_.reset();
  held_.reset();
  request_.clear();
  clearBuffer(collected_);
  body_.clear();
  clearBuffer(output_);
  plan_.id = 0;
  plan_.headers_to_set.clear();
  answer_framing_ = BodyFraming::kNone;
  answer_head_ = nullptr;
  may_run_concurrently_ = close_after_ = false;
  request_sent_ = awaiting_body_ = continue_sent_ = false;
  awaiting_identity_ = awaiting_whole_body_ = false;
  awaiting_confirmation_ = awaiting_head_written_ = awaiting_go_ahead_ = false;
  collecting_ = attempt_cancelled_ = forwarding_ = answer_complete_ = false;
  has_large_answer_ = false;
  unreceived_bytes_ = 0;
}

}  // namespace coursepond::runtime
