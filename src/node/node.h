#pragma once

/// Assembles a coursepond process: control plane, data path, peer transport and administration
/// server on one io_context and one thread.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/address.h"
#include "core/error.h"
#include "node/exit_code.h"
#include "runtime/settings.h"
#include "source/relay_client.h"
#include "source/watch_client.h"

namespace coursepond::node {

/// Creates the client that reads `topic` from a watchable source at `address`. `settings` outlives
/// the client and may change.
using WatchClientFactory = std::function<std::unique_ptr<source::WatchClient>(
    boost::asio::io_context& context, const Address& address, source::Topic topic,
    const source::RelaySettings& settings)>;

/// Components that a program adds to those of the product.
struct Extensions {
  WatchClientFactory watch_client;
};

/// Access to the settings file of a running node, used to detect changes; may be empty.
struct SettingsFile {
  std::string text;  ///< Content of the file when the node started.
  /// Returns the current content, or the error if the file cannot be read.
  std::function<Result<std::string>()> read;
  /// Parses the text together with the other settings sources given at the start.
  std::function<runtime::SettingsOutcome(const std::string& text)> load;
};

/// How a node ended.
enum class StopOutcome {
  kClean,  ///< Every request in flight was answered.
  kCut,    ///< The stop timed out or was cut short: requests may have been cut.
};

/// The listening addresses with the bound ports.
struct NodeAddresses {
  Address caller;
  Address peer;
  Address admin;
};

class Node {
 public:
  /// Binds all listening addresses; fails with kUnavailable when one is in use. `context` must
  /// outlive the node and run on one thread.
  static Result<std::unique_ptr<Node>> create(boost::asio::io_context& context,
                                              runtime::Settings settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts serving.
  void start();

  /// Stops gracefully: readiness fails, no new connections are accepted after the stop delay,
  /// requests in flight finish, the node leaves the mesh, then `stopped` is called. May be called
  /// once.
  void stop(std::function<void(StopOutcome)> stopped);
  /// Logs a further request to stop, which the stop that has begun fulfils.
  void noteRepeatedStop();
  /// Ends a stop that has begun without further waiting. Requests in flight are cut.
  void cutStop();

  NodeAddresses addresses() const;

  /// Internal to node.cpp.
  class Implementation;

 private:
  explicit Node(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

/// Runs a node until SIGTERM or SIGINT and the graceful stop that follows. Startup errors are
/// written to standard error. A two-hop node checks `file` for changes after SIGHUP and every few
/// seconds.
ExitCode runNode(runtime::Settings settings, const Extensions& extensions = {},
                 SettingsFile file = {});

}  // namespace coursepond::node
