#pragma once

/// One connection to a server, which carries one request at a time. It is closed whenever the end
/// of an answer is ambiguous, so that no answer can be delivered to another request.

#include <memory>
#include <string>

#include "core/ids.h"
#include "model/endpoint.h"
#include "runtime/deadline_watch.h"
#include "runtime/http_parser.h"
#include "runtime/link_writer.h"
#include "runtime/receive_buffer.h"
#include "runtime/tcp_types.h"

namespace coursepond::runtime {

struct UpstreamSettings {
  Duration connect_timeout = std::chrono::seconds(1);
  Duration idle_timeout = std::chrono::seconds(30);  ///< An idle connection is closed after this.
  /// Maximum pause within an answer that has started; after that the answer counts as cut.
  Duration answer_stall_timeout = std::chrono::seconds(10);
  /// Time limit for reading the rest of an unwanted answer.
  Duration discard_timeout = std::chrono::milliseconds(500);
  /// Upper bound for the head of an answer, and for all interim answers before it together.
  std::uint32_t answer_head_bytes = 32 * 1024;
  std::uint32_t buffer_bytes = 32 * 1024;             ///< Maximum size of one read.
  const FieldTable* table = &FieldTable::standard();  ///< Must outlive the connections.
  /// If more of an unwanted answer is left, its connection is closed.
  std::uint32_t discard_bytes = 16 * 1024;
};

/// How a connection failed its request.
enum class UpstreamFailure {
  kConnectFailed,
  kClosedUnsent,  ///< No byte of the request was written.
  kLost,          ///< Closed or reset before the answer was complete.
  kStalled,       ///< The answer paused, or went on, for too long.
  kMalformed,     ///< The answer is not HTTP, or exceeds a limit.
};

/// The user of a connection for one request. All functions are called from the event loop, never
/// from inside a call to the connection.
class UpstreamUser {
 public:
  virtual ~UpstreamUser() = default;
  virtual void onUpstreamReady() = 0;
  virtual void onUpstreamWritten() = 0;
  /// An interim answer (100 to 199) arrived; the final answer is still to come.
  virtual void onUpstreamInterim(unsigned) {}
  /// The user may close or discard the connection inside this call.
  virtual void onUpstreamHead(const MessageHead& head) = 0;
  virtual void onUpstreamBody(std::string_view piece) = 0;
  /// Everything received so far was passed on. Call resume() when there is room for more.
  virtual void onUpstreamPause() = 0;
  /// The answer is complete. The user no longer holds the connection, which is back with its owner.
  virtual void onUpstreamComplete() = 0;
  virtual void onUpstreamFailed(UpstreamFailure failure) = 0;
};

class UpstreamConnection;

/// The pool, which is notified when a connection becomes idle or closes.
class UpstreamOwner {
 public:
  virtual ~UpstreamOwner() = default;
  virtual void onConnectionIdle(UpstreamConnection& connection) = 0;
  virtual void onConnectionClosed(UpstreamConnection& connection) = 0;
};

/// Counters for /metrics. Never reset.
struct UpstreamStatistics {
  std::uint64_t connects = 0;
  std::uint64_t connect_failures = 0;
  std::uint64_t reuses = 0;
  std::uint64_t closed_while_idle = 0;  ///< By the server, or because of the idle timeout.
  std::uint64_t abandoned = 0;          ///< Closed with a request in flight.
  /// Not opened because the server's connection budget was used up.
  std::uint64_t over_budget = 0;
};

class UpstreamConnection final : public std::enable_shared_from_this<UpstreamConnection>,
                                 private BodySink,
                                 private Watched {
 public:
  /// `owner`, `settings` and `statistics` must outlive the connection; an owner that does not must
  /// call detachOwner().
  UpstreamConnection(boost::asio::io_context& context, std::shared_ptr<DeadlineWatch> watch,
                     const UpstreamSettings& settings, UpstreamStatistics& statistics,
                     UpstreamOwner& owner, ServiceName service, model::Endpoint endpoint);

  /// Connects. If there is a user, it is notified by onUpstreamReady() or onUpstreamFailed().
  void connect(UpstreamUser* user);
  /// Assigns an idle connection to one request.
  void assign(UpstreamUser& user);
  /// Reports the further events of the current request to another user.
  void changeUser(UpstreamUser& user) { user_ = &user; }
  /// Whether an idle connection is, as far as this side knows, still open and has received nothing.
  bool isFresh();

  /// Prepares for the next answer. If it answers a HEAD request, it has no body, whatever it
  /// announces.
  void expectAnswerTo(bool head_request);
  /// Append request bytes to this, then call write().
  std::string& output() { return output_; }
  /// Writes the output. Ends with onUpstreamWritten() unless setRequestComplete() was called
  /// before.
  void write();
  bool isWriting() const { return writing_; }
  /// Writes the rest of the request in turns of `link`, which must outlive the connection. May be
  /// called again for the same request.
  void scheduleOutput(proxy::LinkScheduler& link, TimePoint due);
  /// Whether the first byte of the request may have been sent.
  bool sentBytes() const { return sent_bytes_; }
  bool isReady() const { return state_ == State::kBusy; }
  /// Call when the output holds the last byte of the request. Otherwise the connection is closed
  /// after the answer.
  void setRequestComplete() { request_complete_ = true; }
  /// Continues to read after onUpstreamPause().
  void resume();
  /// Call when the answer is being forwarded: from now on, pauses are limited by
  /// answer_stall_timeout, and the answer fails if it is not whole at `latest_end`.
  void watchAnswer(TimePoint latest_end);

  /// Abandons the request. The connection is not reused, and the user is not called again.
  void abandon();
  /// The answer whose head was just reported belongs to another request: reads past it and waits
  /// for the answer to this one. The connection is not reused.
  void skipAnswer();
  /// Whether an answer was skipped for the current request.
  bool hasSkippedAnswer() const { return skipped_answer_; }
  /// Reads the rest of an unwanted answer if it is short, otherwise closes. The user is not called
  /// again.
  void discard();
  /// Closes an idle or connecting connection.
  void close();
  /// Call when the owner is destroyed.
  void detachOwner() { owner_ = nullptr; }

  const ServiceName& service() const { return service_; }
  const model::Endpoint& endpoint() const { return endpoint_; }
  bool isIdle() const { return state_ == State::kIdle; }

 private:
  enum class State { kNew, kConnecting, kIdle, kBusy, kDiscarding, kClosed };

  void onBody(std::string_view piece) override;
  void onDeadline() override;

  void onConnected(const boost::system::error_code& error);
  void becomeIdle();
  void read();
  void onRead(const boost::system::error_code& error, std::size_t size);
  void onReadError(const boost::system::error_code& error);
  void onStreamEnded();
  void writeInTurns();
  void writeRest(std::size_t written);
  void onWritten(const boost::system::error_code& error, std::size_t size);
  void parse();
  bool parseHead();
  bool skipInterim();
  void armAnswerTimer();
  void onSkipped();
  void onAnswerComplete();
  void fail(UpstreamFailure failure);
  bool hasRequest() const { return state_ == State::kBusy || state_ == State::kDiscarding; }

  TcpSocket socket_;
  const UpstreamSettings& settings_;
  UpstreamStatistics& statistics_;
  UpstreamOwner* owner_;
  UpstreamUser* user_ = nullptr;
  ServiceName service_;
  model::Endpoint endpoint_;
  State state_ = State::kNew;
  ReceiveBuffer buffer_;
  MessageParser parser_;
  std::string output_;
  std::shared_ptr<LinkWriter<TcpSocket>> link_writer_;  ///< Null: output is not scheduled.
  TimePoint output_due_;
  std::uint64_t written_bytes_ = 0;  ///< Bytes of the current request.
  std::size_t discarded_bytes_ = 0;
  std::size_t interim_bytes_ = 0;  ///< Size of the interim answers to the current request.
  bool skipping_ = false;          ///< The current answer belongs to another request.
  bool skipped_answer_ = false;    ///< An answer was skipped for the current request.
  bool head_request_ = false;
  bool reading_ = false;
  bool writing_ = false;
  /// A write of the current request has failed, and may have taken the report of a reset.
  bool write_failed_ = false;
  bool sent_bytes_ = false;
  bool request_complete_ = false;
  bool answer_watched_ = false;
  TimePoint latest_end_;  ///< See watchAnswer().
};

}  // namespace coursepond::runtime
