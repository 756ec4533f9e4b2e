#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <sstream>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

bool equalsIgnoringCase(const std::string& left, const std::string& right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
           return std::tolower(static_cast<unsigned char>(a)) ==
                  std::tolower(static_cast<unsigned char>(b));
         });
}

sockaddr_in addressOf(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  return address;
}

int millisecondsUntil(Clock::time_point until) {
  const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
  return static_cast<int>(std::max<long>(left, 0));
}

bool waitFor(int descriptor, short events, Clock::time_point until) {
  pollfd entry{descriptor, events, 0};
  return poll(&entry, 1, millisecondsUntil(until)) > 0;
}

/// Parses the head that ends at `end` of `text`.
Message parseHead(const std::string& text, std::size_t end) {
  Message message;
  std::istringstream lines(text.substr(0, end));
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (message.start.empty()) {
      message.start = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(" \t", colon + 1);
    message.headers.emplace_back(line.substr(0, colon),
                                 value == std::string::npos ? "" : line.substr(value));
  }
  return message;
}

}  // namespace

std::string Message::header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (equalsIgnoringCase(key, name)) return value;
  }
  return "";
}

std::string Message::word(std::size_t index) const {
  std::istringstream words(start);
  std::string word;
  for (std::size_t position = 0; position <= index; ++position) {
    if (!(words >> word)) return "";
  }
  return word;
}

Connection::~Connection() { close(descriptor_); }

std::unique_ptr<Connection> Connection::open(const Endpoint& to, Milliseconds timeout) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (descriptor < 0) return nullptr;
  auto connection = std::make_unique<Connection>(descriptor);
  const sockaddr_in address = addressOf(to);
  const int connected =
      connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (connected != 0 && errno != EINPROGRESS) return nullptr;
  if (!waitFor(descriptor, POLLOUT, Clock::now() + timeout)) return nullptr;
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return nullptr;
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return connection;
}

bool Connection::send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size > 0) {
      sent += static_cast<std::size_t>(size);
      continue;
    }
    if (errno != EAGAIN && errno != EINTR) return false;
    if (!waitFor(descriptor_, POLLOUT, Clock::now() + Milliseconds(5000))) return false;
  }
  return true;
}

bool Connection::fill(Clock::time_point until) {
  if (!waitFor(descriptor_, POLLIN, until)) return false;
  char bytes[16384];
  const ssize_t size = recv(descriptor_, bytes, sizeof bytes, 0);
  if (size <= 0) {
    has_ended_ = size == 0 || (errno != EAGAIN && errno != EINTR);
    return !has_ended_;
  }
  buffer_.append(bytes, static_cast<std::size_t>(size));
  return true;
}

std::optional<Message> Connection::read(Milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  has_ended_ = false;
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!fill(until)) return std::nullopt;
  }
  Message message = parseHead(buffer_, end);
  const bool is_interim = message.start.starts_with("HTTP/") && message.status() / 100 == 1;
  const std::size_t length =
      static_cast<std::size_t>(std::strtoul(message.header("Content-Length").c_str(), nullptr, 10));
  while (buffer_.size() < end + 4 + length) {
    if (!fill(until)) return std::nullopt;
  }
  message.body = buffer_.substr(end + 4, length);
  buffer_.erase(0, end + 4 + length);
  return is_interim ? read(std::chrono::duration_cast<Milliseconds>(until - Clock::now()))
                    : std::optional(std::move(message));
}

bool Connection::endsWithin(Milliseconds wait) const {
  pollfd entry{descriptor_, POLLRDHUP, 0};
  return poll(&entry, 1, static_cast<int>(wait.count())) > 0;
}

int listenAt(const Endpoint& at) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (listener < 0) return -1;
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = addressOf(at);
  const bool is_bound =
      bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      listen(listener, SOMAXCONN) == 0;
  if (is_bound) return listener;
  close(listener);
  return -1;
}

int acceptFrom(int listener, Milliseconds timeout) {
  if (!waitFor(listener, POLLIN, Clock::now() + timeout)) return -1;
  const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (descriptor < 0) return -1;
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return descriptor;
}

std::string Outcome::text() const {
  if (answer) return std::to_string(answer->status());
  return was_cut ? "closed without an answer" : "no answer in time";
}

Outcome ask(const Endpoint& to, const std::string& request, Milliseconds timeout) {
  Outcome outcome;
  const std::unique_ptr<Connection> connection = Connection::open(to, Milliseconds(1000));
  if (!connection) return outcome;
  connection->send(request);
  outcome.answer = connection->read(timeout);
  outcome.was_cut = !outcome.answer && connection->hasEnded();
  return outcome;
}

std::string textIn(const std::string& target, const std::string& name) {
  const std::size_t query = target.find('?');
  if (query == std::string::npos) return "";
  std::istringstream fields(target.substr(query + 1));
  std::string field;
  while (std::getline(fields, field, '&')) {
    if (field.starts_with(name + "=")) return field.substr(name.size() + 1);
  }
  return "";
}

long numberIn(const std::string& target, const std::string& name, long fallback) {
  const std::string text = textIn(target, name);
  return text.empty() ? fallback : std::atol(text.c_str());
}

}  // namespace review
