#include "client.h"

// clang-format off: has to come before Beast
#include "runtime/beast_warnings.h"
// clang-format on

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <utility>

#include "answer_body.h"
#include "back_end.h"
#include "wire.h"

namespace coursepond::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kPipelineDepth = 3;
/// How long a client waits for a response after the deadline of the request.
constexpr Duration kTimeoutBeyondDeadline = std::chrono::seconds(1);
constexpr Duration kReconnectPause = std::chrono::milliseconds(100);
/// Interval at which a client that has nothing to send asks for the next request.
constexpr Duration kIdlePollInterval = std::chrono::milliseconds(200);
constexpr std::uint64_t kAnswerLimit = 8 * 1024 * 1024;
constexpr int kServerFailure = 500;
constexpr int kFirstSuccess = 200;
constexpr int kFirstBeyondSuccess = 300;

using Parser = http::response_parser<http::string_body>;

/// One connection and its pending requests in the order in which they were sent.
struct Connection {
  explicit Connection(asio::io_context& context) : socket(context) {}

  Tcp::socket socket;
  beast::flat_buffer buffer;
  std::unique_ptr<Parser> parser;
  std::deque<Request*> waiting;
  std::uint32_t node_incarnation = 0;
  bool is_open = false;
};
using ConnectionPointer = std::shared_ptr<Connection>;

std::string withoutSlash(const std::string& prefix) { return prefix.substr(0, prefix.size() - 1); }

/// Returns what is wrong with the response itself, or an empty string if it is correct.
std::string answerErrorOf(const Request& request, const Parser::value_type& answer) {
  const std::string id(answer[wire::kRequestId]);
  if (!id.empty() && id != request.id) return "the response has the request id " + id;
  const int status = static_cast<int>(answer.result_int());
  if (status < kFirstSuccess) return "an interim response that was not requested";
  const std::string signature(answer[wire::kSignature]);
  const bool is_success = status >= kFirstSuccess && status < kFirstBeyondSuccess;
  const bool is_servers_failure = request.injected_fault == AnswerFault::kFailure &&
                                  status == kServerFailure && !signature.empty();
  if (!is_success && !is_servers_failure) {
    return signature.empty() ? "" : "an error response with a signature that no server has sent";
  }
  if (id.empty()) return "a server response without the request id";
  if (signature != signatureOf(request.id))
    return "a server response with a missing or wrong signature";
  switch (standin::checkAnswerBody(request.id, request.answer_bytes, answer.body())) {
    case standin::AnswerBodyCheck::kRight:
      return "";
    case standin::AnswerBodyCheck::kShort:
      return "the body is truncated, but the response looks complete";
    case standin::AnswerBodyCheck::kForeign:
      return "the body belongs to another request";
  }
  return "";
}

std::string headOf(const Request& request) {
  std::string head = request.is_repeatable ? "GET " : "POST ";
  head += request.target + " HTTP/1.1\r\nHost: " + wire::kHost + "\r\n";
  head += std::string(wire::kRequestId) + ": " + request.id + "\r\n";
  head += std::string(wire::kDeadline) + ": " + std::to_string(toMilliseconds(request.deadline)) +
          "\r\n";
  if (!request.is_repeatable)
    head += "Content-Length: " + std::to_string(request.body_bytes) + "\r\n";
  return head + "\r\n";
}

}  // namespace

class Client::Implementation : public std::enable_shared_from_this<Client::Implementation> {
 public:
  Implementation(asio::io_context& context, Environment& environment, Ledger& ledger,
                 ClientSettings settings, ClientHooks hooks)
      : context_(context),
        environment_(environment),
        ledger_(ledger),
        settings_(std::move(settings)),
        hooks_(std::move(hooks)),
        random_(settings_.seed) {}

  void start() { scheduleSend(randomPause()); }
  void finish() { is_finished_ = true; }
  void leave() {
    is_finished_ = true;
    is_gone_ = true;
    environment_.cancel(timer_);
    closeNow();
  }

 private:
  /// Runs `step` after `delay` unless the client was destroyed by then.
  TimerId runLater(Duration delay, void (Implementation::*step)()) {
    return environment_.schedule(delay, [self = weak_from_this(), step] {
      const auto alive = self.lock();
      if (alive && !alive->is_gone_) ((*alive).*step)();
    });
  }
  void scheduleSend(Duration delay) {
    environment_.cancel(timer_);
    timer_ = runLater(delay, &Client::Implementation::sendNext);
  }
  Duration randomPause() {
    std::uniform_real_distribution<double> part(0.3, 1.7);
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(settings_.pause.count()) * part(random_)));
  }

  void sendNext();
  void connect();
  void onConnected(const ConnectionPointer& connection, const error_code& status);
  void send(const RequestPlan& plan);
  void scheduleTimeout(Request& request);
  void readNext(const ConnectionPointer& connection);
  void onRead(const ConnectionPointer& connection, const error_code& status);
  void onAnswer(const ConnectionPointer& connection);
  void onLost(const ConnectionPointer& connection);
  void end(Request& request, RequestEnd how);
  void giveUp(const std::string& id, bool is_on_purpose);
  void closeNow();

  asio::io_context& context_;
  Environment& environment_;
  Ledger& ledger_;
  ClientSettings settings_;
  ClientHooks hooks_;
  RandomEngine random_;
  ConnectionPointer connection_;
  TimerId timer_ = 0;
  std::uint64_t sent_ = 0;
  bool is_finished_ = false;
  bool is_gone_ = false;
};

void Client::Implementation::sendNext() {
  if (is_finished_) return;
  if (!connection_) return connect();
  if (!connection_->is_open) return;
  const std::size_t most = settings_.style == ClientStyle::kPipelined ? kPipelineDepth : 1;
  while (connection_ && connection_->waiting.size() < most) {
    const std::optional<RequestPlan> plan = hooks_.plan(random_);
    if (!plan) return scheduleSend(kIdlePollInterval);
    send(*plan);
  }
}

void Client::Implementation::connect() {
  const auto connection = std::make_shared<Connection>(context_);
  connection_ = connection;
  connection->socket.async_connect(
      Tcp::endpoint(asio::ip::make_address(settings_.node.host), settings_.node.port),
      [self = shared_from_this(), connection](const error_code& status) {
        if (!self->is_gone_) self->onConnected(connection, status);
      });
}

void Client::Implementation::onConnected(const ConnectionPointer& connection,
                                         const error_code& status) {
  if (connection != connection_) return;
  if (status) {
    connection_.reset();
    return scheduleSend(kReconnectPause);
  }
  error_code ignored;
  connection->socket.set_option(Tcp::no_delay(true), ignored);
  connection->is_open = true;
  connection->node_incarnation = hooks_.node_incarnation();
  readNext(connection);
  sendNext();
}

void Client::Implementation::send(const RequestPlan& plan) {
  Request request;
  request.id = settings_.name + "-" + std::to_string(++sent_);
  request.machine = settings_.machine;
  request.route = plan.route;
  request.lacks_slash = plan.lacks_slash;
  request.target = (plan.lacks_slash ? withoutSlash(plan.path_prefix) : plan.path_prefix + "x") +
                   "?size=" + std::to_string(plan.answer_bytes) +
                   "&time_ms=" + std::to_string(toMilliseconds(plan.work));
  if (plan.crasher > 0) request.target += "&crasher=" + std::to_string(plan.crasher);
  request.crasher = plan.crasher;
  request.node_incarnation = connection_->node_incarnation;
  request.is_repeatable = plan.is_repeatable;
  request.was_pipelined = !connection_->waiting.empty();
  request.answer_bytes = plan.answer_bytes;
  request.body_bytes = plan.body_bytes;
  request.injected_fault = plan.injected_fault;
  request.sent = environment_.now();
  request.deadline = plan.deadline;
  auto text = std::make_shared<std::string>(headOf(request));
  if (!plan.is_repeatable) text->append(plan.body_bytes, 'b');
  Request* const opened = ledger_.open(std::move(request));
  connection_->waiting.push_back(opened);
  scheduleTimeout(*opened);
  // A failed write is detected by the pending read.
  asio::async_write(connection_->socket, asio::buffer(*text),
                    [text, connection = connection_](const error_code&, std::size_t) {});
}

/// Schedules the timeout of the request. A random fraction of the requests is abandoned early on
/// purpose.
void Client::Implementation::scheduleTimeout(Request& request) {
  std::uniform_real_distribution<double> part(0.0, 1.0);
  const bool leaves = part(random_) < settings_.abandon_fraction;
  const Duration early(static_cast<Duration::rep>(part(random_) * 300'000.0));
  environment_.schedule(leaves ? early : request.deadline + kTimeoutBeyondDeadline,
                        [self = weak_from_this(), id = request.id, leaves] {
                          const auto alive = self.lock();
                          if (alive && !alive->is_gone_) alive->giveUp(id, leaves);
                        });
}

void Client::Implementation::readNext(const ConnectionPointer& connection) {
  connection->parser = std::make_unique<Parser>();
  connection->parser->body_limit(kAnswerLimit);
  http::async_read(connection->socket, connection->buffer, *connection->parser,
                   [self = shared_from_this(), connection](const error_code& status, std::size_t) {
                     if (!self->is_gone_) self->onRead(connection, status);
                   });
}

void Client::Implementation::onRead(const ConnectionPointer& connection, const error_code& status) {
  if (connection != connection_) return;
  status ? onLost(connection) : onAnswer(connection);
}

void Client::Implementation::onAnswer(const ConnectionPointer& connection) {
  const Parser::value_type& answer = connection->parser->get();
  if (connection->waiting.empty()) {
    // A response on an idle connection (408) does not belong to a request.
    return closeNow(), scheduleSend(randomPause());
  }
  Request& request = *connection->waiting.front();
  connection->waiting.pop_front();
  request.status = static_cast<int>(answer.result_int());
  request.is_from_server = answer.count(wire::kSignature) > 0;
  request.answered_by = std::string(answer[wire::kInstance]);
  request.has_limit = answer.count(wire::kServerLimit) > 0;
  request.says_leaving = answer[wire::kServerLeaving] == "1";
  request.answer_error = answerErrorOf(request, answer);
  const bool stays = connection->parser->keep_alive() && settings_.style != ClientStyle::kFresh;
  end(request, RequestEnd::kAnswered);
  if (!stays) {
    for (Request* const behind : std::exchange(connection->waiting, {})) {
      end(*behind, RequestEnd::kUnread);
    }
    closeNow();
  } else {
    readNext(connection);
  }
  scheduleSend(randomPause());
}

void Client::Implementation::onLost(const ConnectionPointer& connection) {
  for (Request* const request : std::exchange(connection->waiting, {})) {
    end(*request, RequestEnd::kCut);
  }
  closeNow();
  scheduleSend(kReconnectPause);
}

void Client::Implementation::end(Request& request, RequestEnd how) {
  request.ended = environment_.now();
  request.end = how;
  hooks_.on_end(request);
}

void Client::Implementation::giveUp(const std::string& id, bool is_on_purpose) {
  Request* const request = ledger_.find(id);
  if (request == nullptr || request->end != RequestEnd::kOpen || !connection_) return;
  for (Request* const waiting : std::exchange(connection_->waiting, {})) {
    waiting->abandoned_early = is_on_purpose || waiting != request;
    end(*waiting, RequestEnd::kGivenUp);
  }
  closeNow();
  scheduleSend(randomPause());
}

void Client::Implementation::closeNow() {
  if (!connection_) return;
  error_code ignored;
  connection_->socket.close(ignored);
  connection_.reset();
}

Client::Client(asio::io_context& context, Environment& environment, Ledger& ledger,
               ClientSettings settings, ClientHooks hooks)
    : implementation_(std::make_shared<Implementation>(context, environment, ledger,
                                                       std::move(settings), std::move(hooks))) {}

Client::~Client() { implementation_->leave(); }

void Client::start() { implementation_->start(); }
void Client::finish() { implementation_->finish(); }

}  // namespace coursepond::soak
