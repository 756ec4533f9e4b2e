#pragma once

/// A client of one node. It uses a connection until the node closes it or its process ends, and
/// records the outcome of each request in the ledger.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "core/address.h"
#include "core/environment.h"
#include "ledger.h"

namespace coursepond::soak {

using RandomEngine = std::mt19937_64;

enum class ClientStyle {
  kSerial,     ///< One request at a time over a persistent connection.
  kPipelined,  ///< Pipelined repeatable requests over a persistent connection.
  kFresh,      ///< A new connection for each request.
};

/// The next request of a client.
struct RequestPlan {
  std::size_t route = 0;
  std::string path_prefix;
  bool is_repeatable = true;
  Duration work{};
  std::size_t answer_bytes = 0;
  std::size_t body_bytes = 0;
  Duration deadline{};
  AnswerFault injected_fault = AnswerFault::kNone;
  std::uint64_t crasher = 0;  ///< See Request::crasher.
  bool lacks_slash = false;   ///< See Request::lacks_slash.
};

struct ClientSettings {
  std::string name;     ///< Prefix of its request ids.
  std::string machine;  ///< Machine whose node it sends to.
  Address node;
  ClientStyle style = ClientStyle::kSerial;
  Duration pause{};               ///< Mean time between a response and the next request.
  double abandon_fraction = 0.0;  ///< Fraction of its requests that it abandons early.
  std::uint64_t seed = 0;
};

/// Callbacks from a client to the soak.
struct ClientHooks {
  /// Returns the next request, or nothing if there is none to send now.
  std::function<std::optional<RequestPlan>(RandomEngine&)> plan;
  std::function<std::uint32_t()> node_incarnation;  ///< Incarnation of its node at present.
  std::function<void(Request&)> on_end;             ///< Called once for each request.
};

class Client {
 public:
  /// All references must outlive the client.
  Client(boost::asio::io_context& context, Environment& environment, Ledger& ledger,
         ClientSettings settings, ClientHooks hooks);
  /// Closes the connection. Requests without a response stay in state kOpen.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void start();
  /// Stops sending requests. Still waits for the responses to pending ones.
  void finish();

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace coursepond::soak
