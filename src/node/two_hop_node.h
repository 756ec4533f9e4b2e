#pragma once

/// Assembles a two-hop node, which serves the only server of its machine: egress, ingress, source
/// watch and administration server on one io_context and one thread. Configuration and servers come
/// from a source that itself acknowledges what operators write, so neither confirmation nor
/// membership is needed.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/error.h"
#include "node/node.h"
#include "runtime/settings.h"

namespace coursepond::node {

class TwoHopNode {
 public:
  /// Binds all listening addresses. Fails with kUnavailable when one is in use, and with
  /// kInvalidArgument when the program provides no client of a watchable source. `context` must
  /// outlive the node and run on one thread.
  static Result<std::unique_ptr<TwoHopNode>> create(boost::asio::io_context& context,
                                                    runtime::Settings settings,
                                                    const Extensions& extensions);
  ~TwoHopNode();
  TwoHopNode(const TwoHopNode&) = delete;
  TwoHopNode& operator=(const TwoHopNode&) = delete;

  void start();
  /// Like the functions of Node.
  void stop(std::function<void(StopOutcome)> stopped);
  void noteRepeatedStop();
  void cutStop();

  /// Applies the settings that may change while the node runs. Logs what changed and which changes
  /// need a restart.
  void changeSettings(const runtime::Settings& settings);
  /// Logs errors in new settings. The current settings stay in force.
  void rejectSettings(const std::vector<runtime::SettingMistake>& mistakes);

  /// `peer` is the address of the ingress.
  NodeAddresses addresses() const;

  /// Internal to two_hop_node.cpp.
  class Implementation;

 private:
  explicit TwoHopNode(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace coursepond::node
