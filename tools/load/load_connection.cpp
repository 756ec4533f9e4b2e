#include "load_connection.h"

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "core/http_headers.h"

namespace coursepond::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::uint64_t kBodyLimitBytes = 256ULL << 20;

using BeastRequest = http::request<http::empty_body>;
using BeastResponse = http::response<http::string_body>;

BeastRequest makeRequest(const OutgoingRequest& request) {
  BeastRequest message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, request.host);
  message.set(http_headers::kRequestId, request.request_id);
  if (request.deadline > Duration::zero()) {
    message.set(http_headers::kDeadlineMs, std::to_string(toMilliseconds(request.deadline)));
  }
  message.prepare_payload();
  return message;
}

Version parseVersion(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return Version(value);
}

Answer makeAnswer(BeastResponse&& message) {
  Answer answer;
  answer.status = message.result_int();
  answer.request_id = std::string(message[http_headers::kRequestId]);
  answer.outcome = std::string(message[http_headers::kOutcome]);
  answer.reason = std::string(message[http_headers::kReason]);
  answer.configuration_version = parseVersion(message[http_headers::kConfigurationVersion]);
  answer.keep_alive = message.keep_alive();
  answer.body = std::move(message.body());
  return answer;
}

}  // namespace

class LoadConnection::Impl : public std::enable_shared_from_this<LoadConnection::Impl> {
 public:
  Impl(asio::io_context& context, Environment& environment, const Address& address)
      : environment_(environment),
        socket_(context),
        endpoint_(asio::ip::make_address(address.host), address.port) {}

  void send(const OutgoingRequest& request, Callback callback) {
    callback_ = std::move(callback);
    message_ = makeRequest(request);
    timer_ = environment_.schedule(request.timeout, [self = weak_from_this()] {
      if (const auto connection = self.lock()) connection->timeOut();
    });
    if (socket_.is_open()) return write();
    connect();
  }

  bool reusable() const {
    if (!connected_ || callback_) return false;
    char byte = 0;
    const auto peeked = ::recv(const_cast<tcp::socket&>(socket_).native_handle(), &byte, 1,
                               MSG_PEEK | MSG_DONTWAIT);
    return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void abandon() {
    callback_ = nullptr;
    if (timer_ != 0) environment_.cancel(std::exchange(timer_, 0));
    close();
  }

 private:
  void connect() {
    socket_.async_connect(endpoint_, [self = shared_from_this()](error_code error) {
      if (error) return self->finish(ExchangeEnd::kConnectFailed);
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->connected_ = true;
      self->write();
    });
  }

  void write() {
    http::async_write(socket_, message_,
                      [self = shared_from_this()](error_code error, std::size_t) {
                        if (error) return self->finish(self->endWhenClosed());
                        self->read();
                      });
  }

  void read() {
    parser_.emplace();
    parser_->body_limit(kBodyLimitBytes);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, std::size_t) {
                       if (!error) return self->finish(ExchangeEnd::kAnswer);
                       const bool began = self->parser_->is_header_done();
                       self->finish(began ? ExchangeEnd::kCutAnswer : self->endWhenClosed());
                     });
  }

  ExchangeEnd endWhenClosed() const {
    return exchanges_ > 0 ? ExchangeEnd::kClosedReused : ExchangeEnd::kClosed;
  }

  void timeOut() {
    timer_ = 0;
    finish(ExchangeEnd::kTimeout);
  }

  void finish(ExchangeEnd end) {
    if (!callback_) return;
    if (timer_ != 0) environment_.cancel(std::exchange(timer_, 0));
    Answer answer;
    if (end == ExchangeEnd::kAnswer) answer = makeAnswer(parser_->release());
    ++exchanges_;
    if (end != ExchangeEnd::kAnswer || !answer.keep_alive) close();
    std::exchange(callback_, nullptr)(end, std::move(answer));
  }

  void close() {
    connected_ = false;
    error_code ignored;
    socket_.close(ignored);
  }

  Environment& environment_;
  tcp::socket socket_;
  tcp::endpoint endpoint_;
  bool connected_ = false;
  std::uint64_t exchanges_ = 0;
  TimerId timer_ = 0;
  Callback callback_;
  BeastRequest message_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
};

LoadConnection::LoadConnection(asio::io_context& context, Environment& environment,
                               const Address& address)
    : impl_(std::make_shared<Impl>(context, environment, address)) {}

LoadConnection::~LoadConnection() { impl_->abandon(); }

void LoadConnection::send(const OutgoingRequest& request, Callback callback) {
  impl_->send(request, std::move(callback));
}

bool LoadConnection::reusable() const { return impl_->reusable(); }

}  // namespace coursepond::load
