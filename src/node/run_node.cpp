#include <sys/resource.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <utility>

#include "node/node.h"
#include "node/settings_watch.h"
#include "node/stop_requests.h"
#include "node/two_hop_node.h"
#include "runtime/asio_environment.h"
#include "runtime/logging.h"

namespace coursepond::node {
namespace {

/// Interval at which the settings file is checked without a signal.
constexpr Duration kSettingsInterval = std::chrono::seconds(5);

/// Raises the limit of open file descriptors to the maximum, which allows as many connections as
/// possible.
void raiseDescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

/// Handles signals; see StopRequests.
template <typename AnyNode>
class StopSignals {
 public:
  /// `on_hangup` is called for each SIGHUP, which never ends the process.
  StopSignals(boost::asio::io_context& context, AnyNode& node, std::function<void()> on_hangup)
      : context_(context),
        node_(node),
        signals_(context, SIGTERM, SIGINT),
        hangup_(context, SIGHUP),
        on_hangup_(std::move(on_hangup)) {
    wait();
    waitForHangup();
  }

  /// The signal sets restore the default actions, so that a further signal would end the process
  /// while it exits, with another status.
  ~StopSignals() {
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&handled, signal);
    pthread_sigmask(SIG_BLOCK, &handled, nullptr);
  }
  StopSignals(const StopSignals&) = delete;
  StopSignals& operator=(const StopSignals&) = delete;

  StopOutcome outcome() const { return outcome_; }

 private:
  void wait() {
    signals_.async_wait([this](const boost::system::error_code& status, int signal) {
      if (status) return;
      onSignal(signal);
      wait();
    });
  }

  void onSignal(int signal) {
    switch (signal == SIGINT ? requests_.onInterrupt() : requests_.onTerminate()) {
      case StopAction::kBegin:
        return node_.stop([this](StopOutcome outcome) {
          outcome_ = outcome;
          context_.stop();
        });
      case StopAction::kContinue:
        return node_.noteRepeatedStop();
      case StopAction::kCut:
        return node_.cutStop();
    }
  }

  void waitForHangup() {
    hangup_.async_wait([this](const boost::system::error_code& status, int) {
      if (status) return;
      on_hangup_();
      waitForHangup();
    });
  }

  boost::asio::io_context& context_;
  AnyNode& node_;
  StopRequests requests_;
  boost::asio::signal_set signals_;
  boost::asio::signal_set hangup_;
  std::function<void()> on_hangup_;
  StopOutcome outcome_ = StopOutcome::kClean;
};

template <typename AnyNode>
ExitCode runUntilStopped(boost::asio::io_context& context, AnyNode& node,
                         std::function<void()> on_hangup) {
  const StopSignals<AnyNode> signals(context, node, std::move(on_hangup));
  node.start();
  context.run();
  return signals.outcome() == StopOutcome::kClean ? ExitCode::kOk : ExitCode::kRequestsCut;
}

ExitCode reportStartFailure(const Error& error) {
  std::cerr << "coursepond: " << describe(error) << "\n";
  return ExitCode::kUnavailable;
}

ExitCode runTwoHopNode(boost::asio::io_context& context, runtime::Settings settings,
                       const Extensions& extensions, SettingsFile file) {
  const auto node = TwoHopNode::create(context, std::move(settings), extensions);
  if (!node) return reportStartFailure(node.error());
  TwoHopNode& running = **node;
  runtime::AsioEnvironment environment(context);
  SettingsWatch watch(
      std::move(file), kSettingsInterval, environment,
      [&running](const runtime::Settings& newer) { running.changeSettings(newer); },
      [&running](const auto& mistakes) { running.rejectSettings(mistakes); });
  watch.start();
  return runUntilStopped(context, running, [&watch] { watch.check(); });
}

/// Runs a node without two hops. Its settings do not change while it runs.
ExitCode runMeshNode(boost::asio::io_context& context, runtime::Settings settings) {
  const auto node = Node::create(context, std::move(settings));
  if (!node) return reportStartFailure(node.error());
  return runUntilStopped(context, **node, [] {});
}

}  // namespace

ExitCode runNode(runtime::Settings settings, const Extensions& extensions, SettingsFile file) {
  runtime::initializeLogging("coursepond", settings.log);
  std::signal(SIGPIPE, SIG_IGN);
  raiseDescriptorLimit();
  boost::asio::io_context context(1);
  if (settings.two_hop.enabled()) {
    return runTwoHopNode(context, std::move(settings), extensions, std::move(file));
  }
  return runMeshNode(context, std::move(settings));
}

}  // namespace coursepond::node
