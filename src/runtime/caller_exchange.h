#pragma once

/// Internal to the ProxyServer: one request of a caller and its answer. Takes the request from the
/// connection's bytes, carries the attempts of its proxy::Exchange out, and makes the bytes of the
/// answer; the connection writes them when it is this exchange's turn.

#include <memory>
#include <optional>
#include <string>

#include "proxy/request_flow.h"
#include "runtime/caller_request.h"
#include "runtime/http_head_writer.h"
#include "runtime/http_parser.h"
#include "runtime/proxy_server_shared.h"
#include "runtime/upstream_connection.h"

namespace coursepond::runtime {

class CallerConnection;

class CallerExchange final : public std::enable_shared_from_this<CallerExchange>,
                             private proxy::RequestIo,
                             private UpstreamUser,
                             private BodySink {
 public:
  /// The connection owns its exchanges and outlives them.
  explicit CallerExchange(CallerConnection& connection);

  // The request's head; what comes before begin() or refuse().
  MessageParser& parser() { return parser_; }
  /// After the head is complete: why it is refused, if so.
  std::optional<RefusalReason> check();
  /// Whether it may run while earlier requests of its connection still do. A caller whose
  /// connection ends before its answer sends it again, so that it must be one that may run twice.
  bool runsBeside() const { return runs_beside_; }

  void begin();
  /// Answers instead of beginning, and ends the connection.
  void refuse(RefusalReason reason);

  /// More bytes came from the caller.
  void onBytes();
  /// The caller did not go on within callerTimeout().
  void onCallerSlow() { refuseBody(RefusalReason::kSlowBody); }
  /// How long the caller may take to go on with what is waited for; zero: nothing is.
  Duration callerTimeout() const;
  /// Gives the request up: the caller left, or its connection ends. Nothing is called any more.
  void drop();

  // The answer
  std::string& output() { return output_; }
  /// All of the answer is in output() or written.
  bool isAnswered() const { return answer_complete_; }
  bool requestComplete() const { return parser_.complete(); }
  bool endsConnection() const { return close_after_; }
  /// Its turn to be written came.
  void onTurn();
  /// All of output() was written.
  void onWritten();

  /// Ready for another request; keeps the memory.
  void reset();

 private:
  // proxy::RequestIo
  void startAttempt(const proxy::AttemptPlan& plan) override;
  void cancelAttempt(proxy::AttemptId attempt) override;
  bool bytesSent(proxy::AttemptId attempt) const override;
  void discardAnswer(proxy::AttemptId attempt) override;
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

  void onBody(std::string_view piece) override;  // BodySink: of the request

  // What the request is, before it begins
  bool isIdentified() const;
  void awaitIdentity();
  void identifyThenBegin();
  RequestFingerprint fingerprint() const;
  void startFlow();

  // The request towards the server
  void sendReceipt();
  void openUpstream();
  void sendRequest();
  void sendBody();
  bool mustConfirm() const;
  void confirmThenSend();
  void confirm();
  bool hasLargeBody() const;
  bool takeTurnAtGate(proxy::AttemptId attempt);
  void leaveGate();
  void pumpBody();
  bool takeBody();
  void appendBody(std::string_view piece);
  void failAttemptLater(proxy::AttemptFailure failure);
  void giveUp();
  template <typename Action>
  void postForAttempt(Action action);

  // The answer towards the caller
  AnswerContext answerContext();
  bool isSurplusAnswer(const MessageHead& head) const;
  bool isCollectable(const MessageHead& head) const;
  void stopCollecting();
  void tellAnswerHead();
  void refuseBody(RefusalReason reason);
  void writeLocal(const proxy::LocalAnswer& answer);

  CallerConnection& connection_;
  ProxyServerShared& shared_;
  MessageParser parser_;
  CallerRequest request_;
  proxy::RequestHead head_;  ///< From check() to begin().
  std::unique_ptr<proxy::Exchange> flow_;
  std::shared_ptr<UpstreamConnection> upstream_;
  proxy::AttemptPlan plan_;
  const MessageHead* answer_head_ = nullptr;  ///< While its event is being handled.
  std::string collected_;                     ///< The body of an answer that is not whole yet.
  BodyFraming answer_framing_ = BodyFraming::kNone;
  std::string replay_;  ///< Body bytes already taken, for a further attempt.
  std::string output_;  ///< Of the answer, not written yet.

  bool runs_beside_ = false;
  bool close_after_ = false;
  bool replay_lost_ = false;        ///< The body outgrew what is kept: no further attempt.
  bool request_sent_ = false;       ///< All of the request went to the current attempt.
  bool awaiting_identity_ = false;  ///< The body's first part is not here yet.
  TimePoint head_read_;             ///< When its head was complete.
  bool awaiting_body_ = false;
  bool awaiting_confirmation_ = false;  ///< The next hop has the head; the body is held back.
  bool awaiting_gate_ = false;          ///< See BodyGate.
  bool holds_gate_ = false;
  bool awaiting_go_ = false;  ///< Confirmed to the hop before; its body is the word to go.
  bool continue_sent_ = false;
  bool collecting_ = false;  ///< The answer's head has come; the flow is told when it is whole.
  bool distrusted_ = false;  ///< The flow gave up the connection that its answer came on.
  bool forwarding_ = false;
  bool answer_complete_ = false;
};

}  // namespace coursepond::runtime
