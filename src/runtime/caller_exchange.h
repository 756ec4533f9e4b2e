#pragma once

/// Internal to the ProxyServer: one request of a caller and its answer. Parses the request from the
/// connection's bytes, carries out the attempts of its proxy::Exchange, and produces the bytes of
/// the answer. The connection writes them once all earlier answers are written.

#include <memory>
#include <optional>
#include <string>

#include "proxy/request_flow.h"
#include "runtime/caller_request.h"
#include "runtime/http_head_writer.h"
#include "runtime/http_parser.h"
#include "runtime/kept_attempt.h"
#include "runtime/proxy_server_shared.h"
#include "runtime/request_body.h"
#include "runtime/upstream_connection.h"

namespace coursepond::runtime {

class CallerConnection;

class CallerExchange final : public std::enable_shared_from_this<CallerExchange>,
                             private proxy::RequestIo,
                             private UpstreamUser,
                             private KeptAttemptOwner,
                             private BodySink {
 public:
  /// The connection owns its exchanges and outlives them.
  explicit CallerExchange(CallerConnection& connection);

  // Request head: called before begin() or refuse().
  MessageParser& parser() { return parser_; }
  /// Call when the head is complete. Returns the reason if the request is refused.
  std::optional<RefusalReason> check();
  /// Whether the request may run concurrently with earlier ones of its connection. Only a request
  /// that may run twice qualifies: if the connection ends before the answer, the caller sends it
  /// again.
  bool mayRunConcurrently() const { return may_run_concurrently_; }

  void begin();
  /// Answers with a refusal instead of starting the request, and ends the connection.
  void refuse(RefusalReason reason);

  /// Called when more bytes have arrived from the caller.
  void onBytes();
  /// Called when the caller did not make progress within callerTimeout().
  void onCallerSlow() { refuseBody(RefusalReason::kSlowBody); }
  /// How long the caller may take until it makes progress. Zero: the exchange does not wait for the
  /// caller.
  Duration callerTimeout() const;
  /// Abandons the request because the caller left or its connection ends. No callbacks follow.
  void drop();

  // Answer
  std::string& output() { return output_; }
  /// Whether the whole answer is in output() or already written.
  bool isAnswered() const { return answer_complete_; }
  bool requestComplete() const { return parser_.complete(); }
  bool endsConnection() const { return close_after_; }
  /// Whether the answer is sent in turns of the link's scheduler.
  bool hasLargeAnswer() const { return has_large_answer_; }
  /// Returns how much of the forwarded answer its server has yet to hand over, as far as its length
  /// is known.
  std::uint64_t unreceivedBytes() const { return unreceived_bytes_; }
  /// When the request's answer should be with its caller.
  TimePoint due() const { return due_; }
  /// Called when all earlier answers are written and this one may be.
  void onTurn();
  /// Called when all of output() has been written.
  void onWritten();

  /// Resets the exchange for another request and keeps its memory.
  void reset();

 private:
  // proxy::RequestIo
  void startAttempt(const proxy::AttemptPlan& plan) override;
  void cancelAttempt(proxy::AttemptId attempt) override;
  bool keepAttempt(proxy::AttemptId attempt) override;
  void resumeAttempt(proxy::AttemptId attempt) override;
  bool bytesSent(proxy::AttemptId attempt) const override;
  void discardAnswer(proxy::AttemptId attempt) override;
  bool holdAnswer(proxy::AttemptId attempt) override;
  void answerWithHeld() override;
  std::optional<Digest> bodyDigest() const override;
  bool awaitBody() override;
  void forwardAnswer(proxy::AttemptId attempt) override;
  void answerLocally(const proxy::LocalAnswer& answer) override;

  // UpstreamUser
  void onUpstreamReady() override;
  void onUpstreamWritten() override;
  void onUpstreamInterim(unsigned status) override;
  void onUpstreamHead(const MessageHead& head) override;
  void onUpstreamBody(std::string_view piece) override;
  void onUpstreamPause() override;
  void onUpstreamComplete() override;
  void onUpstreamFailed(UpstreamFailure failure) override;

  // KeptAttemptOwner
  void onKeptReceived() override;
  bool onKeptHead(const MessageHead& head) override;
  void onKeptAnswer(const std::shared_ptr<UpstreamConnection>& connection) override;
  void onKeptFailed(UpstreamFailure failure) override;
  bool isKept(proxy::AttemptId attempt) const { return kept_ && kept_->plan().id == attempt; }

  void onBody(std::string_view piece) override;  // BodySink, for the request body

  // Identifying the request before it starts
  bool isIdentified() const;
  void awaitIdentity();
  void identifyThenBegin();
  RequestFingerprints fingerprints() const;
  void startFlow();
  void collectBody();

  // Sending the request to the server
  void sendReceipt();
  void openUpstream();
  void sendRequest();
  bool schedulesBody() const;
  void sendBody();
  bool mustConfirm() const;
  void confirmThenSend();
  void confirm();
  bool hasLargeBody() const;
  bool takeTurnAtGate(proxy::AttemptId attempt);
  void leaveGate();
  void pumpBody();
  bool takeBody();
  void stopBody();
  void appendBody(std::string_view piece);
  void failAttemptLater(proxy::AttemptFailure failure);
  void giveUp();
  template <typename Action>
  void postForAttempt(Action action);

  // Sending the answer to the caller
  AnswerContext answerContext();
  void noteAnswerSize(std::uint64_t bytes);
  bool isSurplusAnswer(const MessageHead& head, const UpstreamConnection& upstream) const;
  bool isCollectable(const MessageHead& head) const;
  void stopCollecting();
  void reportAnswerHead();
  void onAnswerWhole(const std::shared_ptr<UpstreamConnection>& connection);
  void refuseBody(RefusalReason reason);
  void writeLocal(const proxy::LocalAnswer& answer);
  void endRequestBody();

  /// A whole answer of a server; see proxy::RequestIo::holdAnswer().
  struct HeldAnswer {
    MessageHead head;
    std::string body;
  };

  CallerConnection& connection_;
  ProxyServerShared& shared_;
  MessageParser parser_;
  CallerRequest request_;
  proxy::RequestHead head_;  ///< Valid from check() to begin().
  std::unique_ptr<proxy::Exchange> flow_;
  std::shared_ptr<UpstreamConnection> upstream_;  ///< Of the current attempt.
  std::unique_ptr<KeptAttempt> kept_;
  std::unique_ptr<HeldAnswer> held_;
  proxy::AttemptPlan plan_;
  const MessageHead* answer_head_ = nullptr;  ///< Set only while its event is being handled.
  std::string collected_;  ///< Body received so far of an answer that is not complete yet.
  BodyFraming answer_framing_ = BodyFraming::kNone;
  RequestBody body_;    ///< Body bytes already consumed.
  std::string output_;  ///< Bytes of the answer that are not written yet.

  bool is_starting_ = false;  ///< The flow's start() is running.
  bool may_run_concurrently_ = false;
  bool close_after_ = false;
  bool request_sent_ = false;  ///< The whole request was sent on the current attempt.
  /// Waits for the first part of the body, which identifies the request.
  bool awaiting_identity_ = false;
  bool awaiting_whole_body_ = false;  ///< See proxy::RequestIo::awaitBody().
  TimePoint head_received_;
  bool awaiting_body_ = false;
  /// The next hop has received the head; the body is sent after its 100 Continue.
  bool awaiting_confirmation_ = false;
  /// The head has been passed to the connection; the body follows in turns of the link.
  bool awaiting_head_written_ = false;
  bool awaiting_gate_ = false;  ///< See BodyGate.
  bool holds_gate_ = false;
  /// The previous hop was asked for the body; its first bytes are the go-ahead.
  bool awaiting_go_ahead_ = false;
  bool continue_sent_ = false;
  /// The answer's head has arrived; the flow is notified when the answer is complete.
  bool collecting_ = false;
  /// The flow abandoned the connection on which its answer arrived.
  bool attempt_cancelled_ = false;
  bool forwarding_ = false;
  bool has_large_answer_ = false;
  std::uint64_t unreceived_bytes_ = 0;
  bool answer_complete_ = false;
  TimePoint due_;
};

}  // namespace coursepond::runtime
