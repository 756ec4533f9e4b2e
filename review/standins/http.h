#pragma once

/// The little HTTP/1.1 that the stand-ins of the review need: blocking sockets, one thread a
/// connection.

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Milliseconds = std::chrono::milliseconds;

struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  std::string text() const { return host + ":" + std::to_string(port); }
};

struct Message {
  /// Request line or status line.
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// Returns the value of the first header with that name, compared without case.
  std::string header(const std::string& name) const;
  /// Returns word `index` of the start line, counted from 0.
  std::string word(std::size_t index) const;
  int status() const { return std::atoi(word(1).c_str()); }
};

/// A connected socket with the bytes that were read ahead. Closes the socket when destroyed.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects, or returns null.
  static std::unique_ptr<Connection> open(const Endpoint& to, Milliseconds timeout);

  bool send(const std::string& bytes) const;
  /// Reads a whole message. Returns none if the peer ended the connection first, or at the timeout.
  std::optional<Message> read(Milliseconds timeout);
  /// Waits, and returns whether the peer ended the connection meanwhile.
  bool endsWithin(Milliseconds wait) const;
  /// Returns whether the last read() failed because the connection ended, not for lack of time.
  bool hasEnded() const { return has_ended_; }
  int descriptor() const { return descriptor_; }

 private:
  bool fill(std::chrono::steady_clock::time_point until);

  int descriptor_;
  std::string buffer_;
  bool has_ended_ = false;
};

/// Listens on `at`. Returns a descriptor, or -1.
int listenAt(const Endpoint& at);
/// Waits up to `timeout` for a connection. Returns a descriptor, or -1.
int acceptFrom(int listener, Milliseconds timeout);

/// What became of one request of a client.
struct Outcome {
  /// Empty if no complete answer arrived.
  std::optional<Message> answer;
  /// The connection ended without a complete answer.
  bool was_cut = false;

  /// For the record: the status, "closed without an answer" or "no answer in time".
  std::string text() const;
};

/// Sends one request on a new connection and waits for its answer.
Outcome ask(const Endpoint& to, const std::string& request, Milliseconds timeout);

/// Returns the number after "name=" in a request target, or `fallback`.
long numberIn(const std::string& target, const std::string& name, long fallback);
std::string textIn(const std::string& target, const std::string& name);

}  // namespace review
