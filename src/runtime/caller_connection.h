#pragma once

/// One caller's connection of the ProxyServer: reads requests one at a time, gives each to a
/// RequestFlow, carries its attempts out and streams the answer back.

#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "proxy/request_flow.h"
#include "runtime/caller_request.h"
#include "runtime/deadline_watch.h"
#include "runtime/http_head_writer.h"
#include "runtime/http_parser.h"
#include "runtime/proxy_server.h"
#include "runtime/receive_buffer.h"
#include "runtime/tcp_types.h"
#include "runtime/upstream_pool.h"

namespace coursepond::runtime {

class CallerConnection;

/// What all connections of one ProxyServer share.
struct ProxyServerShared {
  ProxyServerSettings settings;
  std::unique_ptr<FieldTable> table;
  ExchangeSource source;
  Environment& environment;
  std::shared_ptr<DeadlineWatch> watch;
  UpstreamPool pool;
  ProxyServerStatistics statistics;
  std::unordered_set<CallerConnection*> connections;
  bool stopping = false;           ///< Every answer ends its connection.
  std::function<void()> on_empty;  ///< Called when the last connection is gone.
  RequestIdSource request_ids;
};

class CallerConnection final : public std::enable_shared_from_this<CallerConnection>,
                               private proxy::RequestIo,
                               private UpstreamUser,
                               private BodySink,
                               private Watched {
 public:
  CallerConnection(std::shared_ptr<ProxyServerShared> shared, TcpSocket socket);
  ~CallerConnection() override;

  void start() { awaitRequest(); }
  /// Ends the connection if no request is on it.
  void closeIfIdle();
  /// Resets the connection. A request in flight is given up.
  void cut();
  bool hasRequest() const { return state_ == State::kExchange; }

 private:
  enum class State { kIdle, kHead, kExchange, kLingering, kClosed };

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
  void onDeadline() override;

  // Reading
  void read();
  void onRead(const boost::system::error_code& error, std::size_t size);
  void onReadClosed();
  void awaitRequest();
  void parseHead();
  void beginExchange();
  bool hasCallerLeft();

  // The request towards the server
  void openUpstream();
  void sendRequest();
  void sendBody();
  bool mustConfirm() const;
  void confirmThenSend();
  void sendReceipt();
  void pumpBody();
  bool takeBody();
  void appendBody(std::string_view piece);
  void failAttemptLater(proxy::AttemptFailure failure);
  bool requestComplete() const { return parser_.complete(); }

  // The answer towards the caller
  AnswerContext answerContext();
  bool isCollectable(const MessageHead& head) const;
  void stopCollecting();
  void refuse(RefusalReason reason);
  void refuseBody(RefusalReason reason);
  void writeLocal(const proxy::LocalAnswer& answer);
  void flush();
  bool writeNow();
  void onWritten(const boost::system::error_code& error);
  void finishExchange();

  // Ends
  void giveUpFlow();
  void closeGracefully();
  void close();

  std::shared_ptr<ProxyServerShared> shared_;
  TcpSocket socket_;
  State state_ = State::kIdle;
  ReceiveBuffer received_;
  MessageParser parser_;

  // One request at a time
  /// Keeps this alive during a request, also while no operation on the socket is pending.
  std::shared_ptr<CallerConnection> exchange_owner_;
  CallerRequest request_;
  std::unique_ptr<proxy::Exchange> flow_;
  std::shared_ptr<UpstreamConnection> upstream_;
  proxy::AttemptPlan plan_;
  const MessageHead* answer_head_ = nullptr;  ///< While its event is being handled.
  std::string collected_;                     ///< The body of an answer that is not whole yet.
  BodyFraming answer_framing_ = BodyFraming::kNone;
  std::string replay_;  ///< Body bytes already taken, for a further attempt.

  std::string output_;   ///< To be written next.
  std::string written_;  ///< Being written now.

  bool reading_ = false;
  bool read_closed_ = false;
  bool writing_ = false;
  bool close_after_ = false;
  bool replay_lost_ = false;   ///< The body outgrew what is kept: no further attempt.
  bool request_sent_ = false;  ///< All of the request went to the current attempt.
  bool awaiting_body_ = false;
  bool awaiting_confirmation_ = false;  ///< The next hop has the head; the body is held back.
  bool awaiting_go_ = false;  ///< Confirmed to the hop before; its body is the word to go.
  bool continue_sent_ = false;
  bool collecting_ = false;  ///< The answer's head has come; the flow is told when it is whole.
  bool distrusted_ = false;  ///< The flow gave up the connection that its answer came on.
  bool forwarding_ = false;
  bool answer_complete_ = false;  ///< All of the answer is in output_ or written.
};

}  // namespace coursepond::runtime
