#include "runtime/http_server.h"

// clang-format off: has to come before Beast
#include "runtime/beast_warnings.h"
// clang-format on

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <sstream>
#include <unordered_set>

#include "runtime/deadline_watch.h"
#include "runtime/link_writer.h"

namespace coursepond::runtime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

constexpr Duration kWatchTick = std::chrono::milliseconds(100);
/// Number of bytes read ahead while a request is being handled, in order to detect that the caller
/// leaves.
constexpr std::size_t kReadAheadBytes = 4096;
/// How long the caller may still send after the server has ended the connection.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
constexpr int kHttp11 = 11;

Address addressOf(const Tcp::endpoint& endpoint) {
  return Address{endpoint.address().to_string(), endpoint.port()};
}

}  // namespace

/// One answer in progress; implemented by the session.
class HttpResponder::Channel {
 public:
  virtual ~Channel() = default;
  virtual void respond(HttpResponse response) = 0;
  virtual void begin(HttpResponse head) = 0;
  virtual void sendChunk(std::string bytes) = 0;
  virtual void finish() = 0;
  virtual void cut() = 0;
  virtual void onCallerDisconnected(std::function<void()> callback) = 0;
};

namespace {

class Session;

/// Connects all copies of one request's responder to its session until the answer is complete.
class SessionChannel final : public HttpResponder::Channel {
 public:
  explicit SessionChannel(std::shared_ptr<Session> session) : session_(std::move(session)) {}
  ~SessionChannel() override;
  void respond(HttpResponse response) override;
  void begin(HttpResponse head) override;
  void sendChunk(std::string bytes) override;
  void finish() override;
  void cut() override;
  void onCallerDisconnected(std::function<void()> callback) override;

 private:
  std::shared_ptr<Session> session_;  ///< Null once the answer is complete.
  bool begun_ = false;
};

/// State shared by all sessions of one server.
struct Shared {
  Shared(asio::io_context& context, HttpServerLimits limits_in, HttpServer::Handler handler_in)
      : watch(std::make_shared<DeadlineWatch>(context, kWatchTick)),
        limits(limits_in),
        handler(std::move(handler_in)) {}

  std::shared_ptr<DeadlineWatch> watch;
  HttpServerLimits limits;
  HttpServer::Handler handler;
  HttpServerStatistics statistics;
  std::unordered_set<Session*> sessions;
  proxy::LinkScheduler* link = nullptr;  ///< Null: output is not scheduled.
  TimePoint output_due;
  bool closing = false;
  std::function<void()> on_empty;
};

/// The connection of one caller.
class Session final : public std::enable_shared_from_this<Session>, private Watched {
 public:
  Session(std::shared_ptr<Shared> shared, Tcp::socket socket, Address remote)
      : Watched(shared->watch),
        shared_(std::move(shared)),
        socket_(std::move(socket)),
        remote_(std::move(remote)) {
    shared_->sessions.insert(this);
  }

  ~Session() override {
    shared_->sessions.erase(this);
    if (shared_->sessions.empty() && shared_->on_empty) std::exchange(shared_->on_empty, {})();
  }

  void awaitRequest() {
    state_ = State::kIdle;
    if (shared_->closing) return close();
    if (buffer_.size() > 0) return readHead();
    if (read_closed_) return close();
    expireAfter(shared_->limits.idle_timeout);
    if (!reading_) readAhead();
  }

  /// Called when the server stops: closes the connection if it is idle. A busy one closes after its
  /// answer.
  void closeWhenIdle() {
    if (state_ == State::kIdle) close();
  }

  void close() {
    const std::shared_ptr<Session> self = shared_from_this();  // May be held by the link's writer.
    if (link_writer_) link_writer_->cancel();
    error_code ignored;
    socket_.close(ignored);
    expireNever();
    state_ = State::kClosed;
    notifyGone();
  }

  void writeWhole(HttpResponse answer) {
    auto message = std::make_shared<Message>();
    fillHead(*message, answer);
    message->body() = std::move(answer.body);
    message->prepare_payload();
    if (head_request_) message->body().clear();
    writeMessage(message);
  }

  void writeHead(const HttpResponse& answer) {
    auto message = std::make_shared<http::response<http::empty_body>>();
    fillHead(*message, answer);
    message->chunked(true);
    auto serializer = std::make_shared<http::response_serializer<http::empty_body>>(*message);
    writing_ = true;
    expireAfter(shared_->limits.write_timeout);
    http::async_write_header(socket_, *serializer,
                             [self = shared_from_this(), message, serializer](
                                 const error_code& error, std::size_t) { self->onPiece(error); });
  }

  void writeChunk(std::string bytes) {
    if (bytes.empty() || state_ == State::kClosed) return;
    pieces_.push_back(std::move(bytes));
    writeNextPiece();
  }

  void finishChunks() {
    if (state_ == State::kClosed) return;
    last_piece_queued_ = true;
    writeNextPiece();
  }

  void setGoneCallback(std::function<void()> callback) {
    if (state_ == State::kClosed || read_closed_) {
      asio::post(socket_.get_executor(), std::move(callback));
    } else {
      on_gone_ = std::move(callback);
    }
  }

 private:
  enum class State { kIdle, kReading, kHandling, kLingering, kClosed };

  void onDeadline() override {
    if (state_ != State::kReading) return close();
    ++shared_->statistics.refused_slow;
    refuse(408, "request not complete in time");
  }

  /// Reads bytes of the next request. While a request is being handled, this detects that the
  /// caller leaves.
  void readAhead() {
    reading_ = true;
    socket_.async_read_some(buffer_.prepare(kReadAheadBytes),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              self->onReadAhead(error, size);
                            });
  }

  void onReadAhead(const error_code& error, std::size_t size) {
    reading_ = false;
    if (state_ == State::kClosed) return;
    buffer_.commit(size);
    if (error) {
      read_closed_ = true;
      if (state_ == State::kIdle || state_ == State::kLingering) return close();
      return notifyGone();
    }
    if (state_ == State::kLingering) {
      buffer_.clear();
      return readAhead();
    }
    if (state_ == State::kIdle) readHead();
  }

  void readHead() {
    state_ = State::kReading;
    expireAfter(shared_->limits.request_timeout);
    parser_.emplace();
    parser_->header_limit(shared_->limits.header_bytes);
    parser_->body_limit(shared_->limits.body_bytes);
    http::async_read_header(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& error, std::size_t) { self->onHead(error); });
  }

  void onHead(const error_code& error) {
    if (state_ != State::kReading) return;
    if (error) return onReadError(error);
    const bool expects_continue =
        beast::iequals(parser_->get()[http::field::expect], "100-continue");
    if (!expects_continue || parser_->is_done()) return readBody();
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(socket_, asio::buffer(kContinue),
                      [self = shared_from_this()](const error_code& write_error, std::size_t) {
                        if (write_error) return self->close();
                        self->readBody();
                      });
  }

  void readBody() {
    if (state_ != State::kReading) return;
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const error_code& read_error, std::size_t) {
                       self->onRequest(read_error);
                     });
  }

  void onRequest(const error_code& error) {
    if (state_ != State::kReading) return;
    if (error) return onReadError(error);
    ++shared_->statistics.requests;
    state_ = State::kHandling;
    expireNever();
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    head_request_ = message.method() == http::verb::head;
    version_ = message.version();
    if (buffer_.size() < kReadAheadBytes) readAhead();
    HttpResponder responder(std::make_shared<SessionChannel>(shared_from_this()));
    shared_->handler(plainRequest(message), std::move(responder));
  }

  HttpRequest plainRequest(http::request<http::string_body>& message) const {
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
      request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    request.remote = remote_;
    return request;
  }

  void onReadError(const error_code& error) {
    if (error == http::error::header_limit) {
      ++shared_->statistics.refused_too_large;
      return refuse(431, "request head over the limit");
    }
    if (error == http::error::body_limit) {
      ++shared_->statistics.refused_too_large;
      return refuse(413, "request body over the limit");
    }
    const bool malformed = error.category() == make_error_code(http::error::bad_method).category();
    if (!malformed || error == http::error::end_of_stream ||
        error == http::error::partial_message) {
      return close();
    }
    ++shared_->statistics.refused_malformed;
    refuse(400, "malformed request");
  }

  void refuse(int status, const char* text) {
    error_code ignored;
    socket_.cancel(ignored);
    state_ = State::kHandling;
    keep_alive_ = false;
    head_request_ = false;
    version_ = kHttp11;
    writeWhole(HttpResponse{status, "text/plain; charset=utf-8", {}, std::string(text) + "\n"});
  }

  template <typename AnyMessage>
  void fillHead(AnyMessage& message, const HttpResponse& answer) {
    keep_alive_ = keep_alive_ && !shared_->closing;
    message.version(version_);
    message.result(static_cast<unsigned>(answer.status));
    if (!answer.content_type.empty()) message.set(http::field::content_type, answer.content_type);
    for (const HeaderField& field : answer.headers) message.insert(field.name, field.value);
    message.keep_alive(keep_alive_);
  }

  using Message = http::response<http::string_body>;
  using Serializer = http::response_serializer<http::string_body>;

  void writeMessage(const std::shared_ptr<Message>& message) {
    if (shared_->link != nullptr && state_ != State::kClosed) {
      if (shared_->link->isLarge(message->body().size())) return writeInTurns(*message);
      shared_->link->onSmallSent(message->body().size());
    }
    writeSome(message, std::make_shared<Serializer>(*message));
  }

  void writeInTurns(const Message& message) {
    std::ostringstream head;
    head << message.base();
    error_code ignored;
    socket_.non_blocking(true, ignored);
    if (!link_writer_) {
      link_writer_ = std::make_shared<LinkWriter<Tcp::socket>>(socket_, *shared_->link);
    }
    const auto self = shared_from_this();
    const auto on_wait = [self](bool waits_for_peer) {
      waits_for_peer ? self->expireAfter(self->shared_->limits.write_timeout) : self->expireNever();
    };
    link_writer_->write(head.str() + message.body(), shared_->output_due,
                        {on_wait, [self](const error_code& error) { self->onAnswered(error); }});
  }

  /// Writes as much as the caller accepts, until the answer is complete.
  void writeSome(const std::shared_ptr<Message>& message,
                 const std::shared_ptr<Serializer>& serializer) {
    if (state_ == State::kClosed) return;
    expireAfter(shared_->limits.write_timeout);
    http::async_write_some(
        socket_, *serializer,
        [self = shared_from_this(), message, serializer](const error_code& error, std::size_t) {
          if (error || serializer->is_done()) return self->onAnswered(error);
          self->writeSome(message, serializer);
        });
  }

  void writeNextPiece() {
    if (writing_) return;
    if (pieces_.empty() && !last_piece_queued_) return;
    writing_ = true;
    expireAfter(shared_->limits.write_timeout);
    auto write = [this](auto buffers, auto keep) {
      asio::async_write(socket_, buffers,
                        [self = shared_from_this(), keep](const error_code& error, std::size_t) {
                          self->onPiece(error);
                        });
    };
    if (pieces_.empty()) {
      last_piece_written_ = true;
      return write(http::make_chunk_last(), 0);
    }
    auto piece = std::make_shared<std::string>(std::move(pieces_.front()));
    pieces_.pop_front();
    write(http::make_chunk(asio::buffer(*piece)), piece);
  }

  void onPiece(const error_code& error) {
    writing_ = false;
    if (state_ == State::kClosed) return;
    if (error || last_piece_written_) return onAnswered(error);
    expireNever();
    writeNextPiece();
  }

  void onAnswered(const error_code& error) {
    if (state_ == State::kClosed) return;
    on_gone_ = nullptr;
    pieces_.clear();
    last_piece_queued_ = last_piece_written_ = false;
    if (error || !keep_alive_) return closeAfterAnswer();
    awaitRequest();
  }

  /// Shuts down sending, then reads until the caller closes too. Closing with unread bytes would
  /// reset the connection, and the caller could lose the answer.
  void closeAfterAnswer() {
    error_code error;
    socket_.shutdown(Tcp::socket::shutdown_send, error);
    if (error || read_closed_) return close();
    state_ = State::kLingering;
    expireAfter(kLingerTimeout);
    if (!reading_) readAhead();
  }

  void notifyGone() {
    if (on_gone_) std::exchange(on_gone_, nullptr)();
  }

  std::shared_ptr<Shared> shared_;
  Tcp::socket socket_;
  Address remote_;
  State state_ = State::kIdle;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::deque<std::string> pieces_;
  std::shared_ptr<LinkWriter<Tcp::socket>> link_writer_;  ///< Null before the first large answer.
  std::function<void()> on_gone_;
  unsigned version_ = kHttp11;
  bool keep_alive_ = true;
  bool head_request_ = false;
  bool reading_ = false;
  bool read_closed_ = false;
  bool writing_ = false;
  bool last_piece_queued_ = false;
  bool last_piece_written_ = false;
};

SessionChannel::~SessionChannel() {
  if (begun_) {
    cut();
  } else {
    respond(HttpResponse{500, "text/plain; charset=utf-8", {}, "the handler gave no answer\n"});
  }
}

void SessionChannel::respond(HttpResponse response) {
  if (!session_ || begun_) return;
  std::exchange(session_, nullptr)->writeWhole(std::move(response));
}

void SessionChannel::begin(HttpResponse head) {
  if (!session_ || begun_) return;
  begun_ = true;
  session_->writeHead(head);
}

void SessionChannel::sendChunk(std::string bytes) {
  if (session_ && begun_) session_->writeChunk(std::move(bytes));
}

void SessionChannel::finish() {
  if (session_ && begun_) std::exchange(session_, nullptr)->finishChunks();
}

void SessionChannel::cut() {
  if (session_) std::exchange(session_, nullptr)->close();
}

void SessionChannel::onCallerDisconnected(std::function<void()> callback) {
  if (session_) session_->setGoneCallback(std::move(callback));
}

}  // namespace

HttpResponder::HttpResponder(std::shared_ptr<Channel> channel) : channel_(std::move(channel)) {}
void HttpResponder::respond(HttpResponse response) const { channel_->respond(std::move(response)); }
void HttpResponder::begin(HttpResponse head) const { channel_->begin(std::move(head)); }
void HttpResponder::sendChunk(std::string bytes) const { channel_->sendChunk(std::move(bytes)); }
void HttpResponder::finish() const { channel_->finish(); }
void HttpResponder::cut() const { channel_->cut(); }
void HttpResponder::onCallerDisconnected(std::function<void()> callback) const {
  channel_->onCallerDisconnected(std::move(callback));
}

class HttpServer::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(asio::io_context& context, HttpServerLimits limits, Handler handler)
      : acceptor_(context),
        shared_(std::make_shared<Shared>(context, limits, std::move(handler))) {}

  Result<void> listen(const Address& address) {
    error_code error;
    const auto ip = asio::ip::make_address(address.host, error);
    const Tcp::endpoint endpoint(ip, address.port);
    if (!error) acceptor_.open(endpoint.protocol(), error);
    if (!error) acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error) acceptor_.bind(endpoint, error);
    if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (!error) address_ = addressOf(acceptor_.local_endpoint(error));
    if (!error) return {};
    return Error{ErrorKind::kUnavailable,
                 "cannot listen on " + formatAddress(address) + ": " + error.message(),
                 "free the port or set another address"};
  }

  void accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](const error_code& error, Tcp::socket socket) {
          if (error == asio::error::operation_aborted || !self->acceptor_.is_open()) return;
          if (!error) self->onAccepted(std::move(socket));
          self->accept();
        });
  }

  void stopAccepting() {
    error_code ignored;
    acceptor_.close(ignored);
  }

  void closeWhenIdle(std::function<void()> closed) {
    stopAccepting();
    shared_->closing = true;
    if (shared_->sessions.empty()) {
      asio::post(acceptor_.get_executor(), std::move(closed));
      return;
    }
    shared_->on_empty = std::move(closed);
    for (const auto& session : liveSessions()) session->closeWhenIdle();
  }

  void closeAll() {
    stopAccepting();
    shared_->on_empty = nullptr;
    shared_->handler = [](const HttpRequest&, const HttpResponder&) {};
    for (const auto& session : liveSessions()) session->close();
  }

  void scheduleOutput(proxy::LinkScheduler& link, TimePoint due) {
    shared_->link = &link;
    shared_->output_due = due;
  }

  const Address& address() const { return address_; }
  const Shared& shared() const { return *shared_; }

 private:
  /// Closing a session may destroy it, so the set is copied first.
  std::vector<std::shared_ptr<Session>> liveSessions() const {
    std::vector<std::shared_ptr<Session>> sessions;
    for (Session* session : shared_->sessions) {
      if (auto live = session->weak_from_this().lock()) sessions.push_back(std::move(live));
    }
    return sessions;
  }

  void onAccepted(Tcp::socket socket) {
    error_code error;
    const Tcp::endpoint remote = socket.remote_endpoint(error);
    if (error || shared_->sessions.size() >= shared_->limits.connections) {
      ++shared_->statistics.connections_refused;
      return;
    }
    ++shared_->statistics.connections_accepted;
    socket.set_option(Tcp::no_delay(true), error);
    std::make_shared<Session>(shared_, std::move(socket), addressOf(remote))->awaitRequest();
  }

  Tcp::acceptor acceptor_;
  std::shared_ptr<Shared> shared_;
  Address address_;
};

HttpServer::HttpServer(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

HttpServer::~HttpServer() { implementation_->closeAll(); }

Result<std::unique_ptr<HttpServer>> HttpServer::create(asio::io_context& context,
                                                       const Address& address,
                                                       HttpServerLimits limits, Handler handler) {
  auto implementation = std::make_shared<Implementation>(context, limits, std::move(handler));
  if (auto listening = implementation->listen(address); !listening) return listening.error();
  implementation->accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

void HttpServer::scheduleOutput(proxy::LinkScheduler& link, TimePoint due) {
  implementation_->scheduleOutput(link, due);
}

Address HttpServer::address() const { return implementation_->address(); }
const HttpServerStatistics& HttpServer::statistics() const {
  return implementation_->shared().statistics;
}
std::size_t HttpServer::connectionCount() const {
  return implementation_->shared().sessions.size();
}
void HttpServer::stopAccepting() { implementation_->stopAccepting(); }
void HttpServer::closeWhenIdle(std::function<void()> closed) {
  implementation_->closeWhenIdle(std::move(closed));
}

}  // namespace coursepond::runtime
