#include <sys/resource.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <utility>

#include "node/node.h"
#include "node/two_hop_node.h"
#include "runtime/logging.h"

namespace coursepond::node {
namespace {

/// Lets the process hold as many connections as the machine allows.
void raiseDescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

/// Turns each signal into a stop: the first a planned one, a second one hurries it.
template <typename AnyNode>
class StopSignals {
 public:
  StopSignals(boost::asio::io_context& context, AnyNode& node)
      : context_(context),
        node_(node),
        signals_(context, SIGTERM, SIGINT),
        hangup_(context, SIGHUP) {
    wait();
    ignoreHangup();
  }

  StopOutcome outcome() const { return outcome_; }

 private:
  void wait() {
    signals_.async_wait([this](const boost::system::error_code& status, int) {
      if (status) return;
      node_.stop([this](StopOutcome outcome) {
        outcome_ = outcome;
        context_.stop();
      });
      wait();
    });
  }

  /// A hangup asks to read the settings anew. All of them are fixed for a process's life, so
  /// that there is nothing to take over; it must not end the process.
  void ignoreHangup() {
    hangup_.async_wait([this](const boost::system::error_code& status, int) {
      if (!status) ignoreHangup();
    });
  }

  boost::asio::io_context& context_;
  AnyNode& node_;
  boost::asio::signal_set signals_;
  boost::asio::signal_set hangup_;
  StopOutcome outcome_ = StopOutcome::kClean;
};

template <typename AnyNode>
ExitCode runUntilStopped(boost::asio::io_context& context,
                         const Result<std::unique_ptr<AnyNode>>& node) {
  if (!node) {
    std::cerr << "coursepond: " << describe(node.error()) << "\n";
    return ExitCode::kUnavailable;
  }
  const StopSignals<AnyNode> signals(context, **node);
  (*node)->start();
  context.run();
  return signals.outcome() == StopOutcome::kClean ? ExitCode::kOk : ExitCode::kRequestsCut;
}

}  // namespace

ExitCode runNode(runtime::Settings settings, const Extensions& extensions) {
  runtime::initializeLogging("coursepond", settings.log);
  std::signal(SIGPIPE, SIG_IGN);
  raiseDescriptorLimit();
  boost::asio::io_context context(1);
  if (settings.two_hop.enabled()) {
    return runUntilStopped(context, TwoHopNode::create(context, std::move(settings), extensions));
  }
  return runUntilStopped(context, Node::create(context, std::move(settings)));
}

}  // namespace coursepond::node
