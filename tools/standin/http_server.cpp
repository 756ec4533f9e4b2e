#include "http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <set>
#include <sstream>
#include <utility>

namespace coursepond::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kChunkBytes = 4096;
constexpr std::uint64_t kBodyLimitBytes = 64ULL << 20;

using BeastRequest = http::request<http::string_body>;
using BeastResponse = http::response<http::string_body>;

HttpRequest convertRequest(BeastRequest&& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  const std::string target(message.target());
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) request.query = target.substr(mark + 1);
  for (const auto& field : message) {
    request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

http::response<http::empty_body> replyHeader(const HttpReply& reply, bool keep_alive) {
  http::response<http::empty_body> header;
  header.version(11);
  header.result(static_cast<unsigned>(reply.status));
  for (const HttpHeader& field : reply.headers) header.insert(field.name, field.value);
  header.keep_alive(keep_alive);
  if (reply.chunked) {
    header.chunked(true);
  } else {
    header.content_length(reply.body.size());
  }
  return header;
}

std::string encodeChunks(std::string_view body) {
  std::string encoded;
  while (!body.empty()) {
    const std::string_view piece = body.substr(0, kChunkBytes);
    body.remove_prefix(piece.size());
    encoded += beast::buffers_to_string(http::make_chunk(asio::buffer(piece)));
  }
  encoded += beast::buffers_to_string(http::make_chunk_last());
  return encoded;
}

/// Serializes the reply, without the part that its fault suppresses.
std::string encodeReply(const HttpReply& reply, bool keep_alive, bool without_body) {
  std::ostringstream header;
  header << replyHeader(reply, keep_alive).base();
  std::string bytes = header.str();
  if (without_body) return bytes;
  std::string body = reply.chunked ? encodeChunks(reply.body) : reply.body;
  if (reply.fault != BodyFault::kNone) body.resize(std::min(body.size(), reply.fault_after));
  return bytes + body;
}

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  class Connection;

  Impl(asio::io_context& context, HttpServerOptions options, Handler on_request, Handler on_excess)
      : options_(std::move(options)),
        on_request_(std::move(on_request)),
        on_excess_(std::move(on_excess)),
        acceptor_(context) {}

  Result<Address> start();
  void stop();
  void accept();
  void closeAfterReplies() { close_after_replies_ = true; }
  void remove(Connection* connection) { connections_.erase(connection); }

  const HttpServerOptions& options() const { return options_; }
  bool closesAfterReplies() const { return close_after_replies_; }
  bool stopped() const { return stopped_; }
  const Handler& handler(bool excess) const { return excess ? on_excess_ : on_request_; }
  HttpServerCounts counts() const {
    return {connections_.size(), accepted_connections_, excess_connections_};
  }

 private:
  HttpServerOptions options_;
  Handler on_request_;
  Handler on_excess_;
  tcp::acceptor acceptor_;
  std::set<Connection*> connections_;
  std::size_t accepted_connections_ = 0;
  std::size_t excess_connections_ = 0;
  bool close_after_replies_ = false;
  bool stopped_ = false;
};

/// One client connection, kept alive by its pending operations and by its exchanges.
class HttpServer::Impl::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> server, tcp::socket socket, bool excess)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        excess_(excess) {}
  ~Connection() { server_->remove(this); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void start();
  void read();
  void close();
  void closeIfIdle() {
    if (!exchange_active_) close();
  }

  void sendReply(const HttpReply& reply);
  void watchForDisconnect(std::uint64_t exchange);

  std::uint64_t currentExchange() const { return exchange_number_; }
  void setDisconnectCallback(std::function<void()> callback) {
    on_disconnect_ = std::move(callback);
  }

 private:
  void dispatch();
  void handleDisconnect();
  void finishReply(bool keep_alive, BodyFault fault);

  std::shared_ptr<Impl> server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  bool excess_;
  bool exchange_active_ = false;
  bool head_request_ = false;
  bool client_keeps_alive_ = true;
  std::uint64_t exchange_number_ = 0;
  std::function<void()> on_disconnect_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string outgoing_;
};

namespace {

/// Binds a request to its connection. A late reply to an earlier request has no effect.
template <typename Connection>
class ConnectionExchange : public HttpExchange {
 public:
  ConnectionExchange(std::shared_ptr<Connection> connection, HttpRequest request)
      : connection_(std::move(connection)),
        request_(std::move(request)),
        number_(connection_->currentExchange()) {}

  const HttpRequest& request() const override { return request_; }
  void reply(HttpReply reply) override {
    if (claimReply()) connection_->sendReply(reply);
  }
  void abort() override {
    if (claimReply()) connection_->close();
  }
  void onDisconnect(std::function<void()> callback) override {
    if (connection_->currentExchange() == number_) {
      connection_->setDisconnectCallback(std::move(callback));
    }
  }

 private:
  bool claimReply() {
    if (replied_ || connection_->currentExchange() != number_) return false;
    replied_ = true;
    return true;
  }

  std::shared_ptr<Connection> connection_;
  HttpRequest request_;
  std::uint64_t number_;
  bool replied_ = false;
};

}  // namespace

void HttpServer::Impl::Connection::start() {
  if (server_->options().connection_delay <= Duration::zero()) return read();
  timer_.expires_after(server_->options().connection_delay);
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) self->read();
  });
}

void HttpServer::Impl::Connection::read() {
  exchange_active_ = false;
  if (server_->stopped()) return close();
  parser_.emplace();
  parser_->body_limit(kBodyLimitBytes);
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](error_code error, std::size_t) {
                     if (error) return self->close();
                     self->dispatch();
                   });
}

void HttpServer::Impl::Connection::dispatch() {
  exchange_active_ = true;
  ++exchange_number_;
  BeastRequest message = parser_->release();
  head_request_ = message.method() == http::verb::head;
  client_keeps_alive_ = message.keep_alive();
  watchForDisconnect(exchange_number_);
  server_->handler(excess_)(std::make_shared<ConnectionExchange<Connection>>(
      shared_from_this(), convertRequest(std::move(message))));
}

void HttpServer::Impl::Connection::watchForDisconnect(std::uint64_t exchange) {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), exchange](error_code) {
    if (self->exchange_number_ != exchange || !self->exchange_active_) return;
    error_code error;
    const bool bytes_wait = self->socket_.is_open() && self->socket_.available(error) > 0;
    if (!bytes_wait) self->handleDisconnect();
  });
}

void HttpServer::Impl::Connection::handleDisconnect() {
  close();
  if (on_disconnect_) std::exchange(on_disconnect_, nullptr)();
}

void HttpServer::Impl::Connection::close() {
  ++exchange_number_;
  exchange_active_ = false;
  timer_.cancel();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
}

void HttpServer::Impl::Connection::sendReply(const HttpReply& reply) {
  ++exchange_number_;
  on_disconnect_ = nullptr;
  const bool keep_alive =
      client_keeps_alive_ && !reply.close && !excess_ && !server_->closesAfterReplies();
  outgoing_ = encodeReply(reply, keep_alive, head_request_);
  asio::async_write(
      socket_, asio::buffer(outgoing_),
      [self = shared_from_this(), keep_alive, fault = reply.fault](error_code error, std::size_t) {
        if (error) return self->close();
        self->finishReply(keep_alive, fault);
      });
}

void HttpServer::Impl::Connection::finishReply(bool keep_alive, BodyFault fault) {
  if (fault == BodyFault::kStall) return watchForDisconnect(exchange_number_);
  if (!keep_alive || fault == BodyFault::kCut) return close();
  read();
}

Result<Address> HttpServer::Impl::start() {
  const auto fail = [&](const error_code& error) {
    return Error{ErrorKind::kUnavailable,
                 "cannot listen on " + formatAddress(options_.listen) + ": " + error.message(),
                 "choose a free address of this machine"};
  };
  error_code error;
  const asio::ip::address host = asio::ip::make_address(options_.listen.host, error);
  if (error) return fail(error);
  const tcp::endpoint endpoint(host, options_.listen.port);
  acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) return fail(error);
  accept();
  return Address{options_.listen.host, acceptor_.local_endpoint().port()};
}

void HttpServer::Impl::accept() {
  acceptor_.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
    if (self->stopped_) return;
    if (!error) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      ++self->accepted_connections_;
      const bool excess = self->connections_.size() >= self->options_.connection_limit;
      if (excess) ++self->excess_connections_;
      const auto connection = std::make_shared<Connection>(self, std::move(socket), excess);
      self->connections_.insert(connection.get());
      connection->start();
    }
    self->accept();
  });
}

void HttpServer::Impl::stop() {
  stopped_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  const std::set<Connection*> open = connections_;
  for (Connection* connection : open) connection->closeIfIdle();
}

HttpServer::HttpServer(asio::io_context& context, HttpServerOptions options, Handler on_request,
                       Handler on_excess)
    : impl_(std::make_shared<Impl>(context, std::move(options), std::move(on_request),
                                   std::move(on_excess))) {}

HttpServer::~HttpServer() { impl_->stop(); }

Result<Address> HttpServer::start() { return impl_->start(); }
void HttpServer::stop() { impl_->stop(); }
void HttpServer::closeAfterReplies() { impl_->closeAfterReplies(); }
HttpServerCounts HttpServer::counts() const { return impl_->counts(); }

}  // namespace coursepond::standin
