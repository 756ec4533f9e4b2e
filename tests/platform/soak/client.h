#pragma once

/// One client of a node: uses a connection until the node or the process ends it, and writes what
/// it saw of each request into the ledger.

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
  kSerial,     ///< One request at a time over a kept connection.
  kPipelined,  ///< Some repeatable requests at once over a kept connection.
  kFresh,      ///< A new connection for each request.
};

/// What a client is to send next.
struct RequestPlan {
  std::size_t route = 0;
  std::string path_prefix;
  bool is_repeatable = true;
  Duration work{};
  std::size_t answer_bytes = 0;
  std::size_t body_bytes = 0;
  Duration deadline{};
  Spoil spoil = Spoil::kNone;
  std::uint64_t crasher = 0;  ///< See Request::crasher.
};

struct ClientSettings {
  std::string name;     ///< Begins the ids of its requests.
  std::string machine;  ///< Whose node it uses.
  Address node;
  ClientStyle style = ClientStyle::kSerial;
  Duration pause{};           ///< Mean, between an answer and the next request.
  double leaving_part = 0.0;  ///< Of its requests, those that it leaves early.
  std::uint64_t seed = 0;
};

/// What a client asks of the soak.
struct ClientHooks {
  std::function<std::optional<RequestPlan>(RandomEngine&)> plan;  ///< Nothing: not now.
  std::function<std::uint32_t()> node_life;                       ///< Of its node, just now.
  std::function<void(Request&)> on_end;                           ///< Once for each request.
};

class Client {
 public:
  /// All references must outlive the client.
  Client(boost::asio::io_context& context, Environment& environment, Ledger& ledger,
         ClientSettings settings, ClientHooks hooks);
  /// Leaves; requests without an answer stay open.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void start();
  /// Sends no more; what is under way is still waited for.
  void finish();

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace coursepond::soak
