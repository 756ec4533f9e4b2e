#pragma once

/// A node that owns the one server of its machine: egress, ingress, the watch on the source and
/// administration on one io_context and one thread. Configuration and servers come from a source
/// that acknowledges what operators write, so that no confirmation and no membership is needed.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/error.h"
#include "node/node.h"
#include "runtime/settings.h"

namespace coursepond::node {

class TwoHopNode {
 public:
  /// Binds every address; fails with kUnavailable when one is taken, and with kInvalidArgument when
  /// the program brings no client of a watchable source. `context` must outlive the node and run
  /// on one thread.
  static Result<std::unique_ptr<TwoHopNode>> create(boost::asio::io_context& context,
                                                    runtime::Settings settings,
                                                    const Extensions& extensions);
  ~TwoHopNode();
  TwoHopNode(const TwoHopNode&) = delete;
  TwoHopNode& operator=(const TwoHopNode&) = delete;

  void start();
  /// A planned stop, as Node::stop().
  void stop(std::function<void(StopOutcome)> stopped);

  /// Takes over what may change while the node runs; tells in the log what did, and what waits for
  /// a restart.
  void changeSettings(const runtime::Settings& settings);
  /// New settings were wrong: told in the log, and the old ones stay.
  void refuseSettings(const std::vector<runtime::SettingMistake>& mistakes);

  /// `peer` is the ingress's.
  NodeAddresses addresses() const;

  /// Internal to two_hop_node.cpp.
  class Implementation;

 private:
  explicit TwoHopNode(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace coursepond::node
