#pragma once

/// One machine of a soak: a real node process, the application server next to it, its network link
/// and its entry in the store.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "back_end.h"
#include "core/environment.h"
#include "link.h"
#include "process/process_handle.h"
#include "store_stand_in.h"
#include "trouble_book.h"

namespace coursepond::soak {

/// Time bounds that the deployment promises. Passed to the nodes with --bounds.
struct Bounds {
  Duration drain = std::chrono::seconds(2);
  Duration config_apply = std::chrono::seconds(2);
  Duration contact = std::chrono::seconds(3);
  Duration grace = std::chrono::seconds(6);
};

/// Interval between two writes of a server's entry.
inline constexpr Duration kHeartbeat = std::chrono::milliseconds(1500);
/// Time after which the entry of a crashed server is removed: three heartbeats.
inline constexpr Duration kEntryLifetime = 3 * kHeartbeat;

/// Returns true if no running soak uses the network. Each soak listens on the store port of its
/// first machine.
bool isNetworkFree(std::uint32_t network);

struct MachineSettings {
  std::string name;
  std::size_t number = 0;     ///< Counted from 0.
  std::uint32_t network = 0;  ///< Second octet of its loopback addresses.
  std::string zone;
  std::string service;
  std::string folder;  ///< Folder for its settings and log.
  std::uint64_t link_rate = 0;
  Bounds bounds;
};

/// Services and callbacks that all machines of a soak share.
struct SoakContext {
  boost::asio::io_context& context;
  Environment& environment;
  platform::StoreStandIn& store;
  Ledger& ledger;
  FaultLog& faults;
  /// Called when the server with this instance id has read a request.
  std::function<void(const std::string& machine, const std::string& instance,
                     const std::string& request)>
      on_arrival;
  /// Called when the crashing request with this number crashed a server.
  std::function<void(std::uint64_t crasher)> on_crash;
  /// Called when a node process does something that it must never do.
  std::function<void(const std::string& kind, const std::string& description)> on_violation;
  std::function<void(const std::string& line)> log;
  /// Called when the server with this instance id reports another limit from now on.
  std::function<void(const std::string& instance, std::optional<double> per_second)> on_limit =
      [](const auto&, const auto&) {};
  /// Called when a node process starts, is paused or goes on.
  std::function<void(const std::string& machine)> on_node_disturbed = [](const auto&) {};
  /// Called when a fault of a machine's link begins, and when it ends.
  std::function<void(const std::string& machine, bool begins)> on_link_fault = [](const auto&,
                                                                                  bool) {};
};

class Machine {
 public:
  /// Listens on its own loopback addresses. Does not start the process or the server.
  Machine(SoakContext soak, MachineSettings settings);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  const std::string& name() const { return settings_.name; }
  const std::string& service() const { return settings_.service; }
  /// Service of the server that has the address at present; see reassignServer().
  const std::string& serverService() const { return server_service_; }
  /// Component in the fault log for faults of the server. Faults of the process and the link are
  /// recorded under name().
  std::string serverComponent() const { return "server of " + settings_.name; }
  Address callerAddress() const;
  std::uint32_t nodeIncarnation() const { return incarnation_; }
  bool isNodeRunning() const { return process_ != nullptr; }
  /// Returns whether the node's log says last that it reads the store for others.
  bool readsStore() const;

  /// Faults of the process. They have no effect while the process is not running.
  void startNode();
  void terminateNode(Duration downtime);
  /// Sends a further SIGTERM to a process that is being stopped.
  void terminateNodeAgain();
  void killNode(Duration downtime);
  void freezeNode(Duration length);
  /// Freezes the process, and its steady clock does not count the time (see suspend_clock.cpp).
  void suspendNode(Duration length);
  /// Writes changed settings and sends SIGHUP to the process.
  void hangUpNode();
  /// Checks whether the process has ended. Has to be called frequently.
  void pollNode();

  /// Faults of the link.
  void delayLink(Duration one_way, Duration length);
  void narrowLink(std::uint64_t bytes_per_second, Duration length);
  void silenceLink(Direction direction, Duration length);
  void resetLink();

  /// Lifecycle and faults of the server.
  void startServer();
  /// Marks its entry as draining if `is_announced`, otherwise removes the entry. The server
  /// continues to serve for `length`, then stops and restarts after `downtime`.
  void drainServer(bool is_announced, Duration length, Duration downtime);
  void crashServer(Duration downtime);
  /// Crashes the server, and gives its address to a server of `service` for `length` after the time
  /// that an address is kept. A server of the machine's own service starts `downtime` later.
  void reassignServer(const std::string& service, Duration length, Duration downtime);
  void slowServer(double factor, Duration length);
  /// Makes the server report this limit for `length`, or until the next call.
  void limitServer(double per_second, Duration length);
  /// Makes the server say in its answers that it is leaving. It continues to serve for `length`,
  /// then stops and restarts after `downtime`. Its entry stays until it stops.
  void announceServerLeaving(Duration length, Duration downtime);
  /// Removes the entry of a running server and restores it after `length`.
  void lapseEntry(Duration length);
  void heartbeat();
  /// Returns true if the running server writes this entry of the store.
  bool writes(const std::string& key) const;
  /// Returns whether, at any time from `from` to `to`, the server had said in its answers that it
  /// is leaving and no later one had started.
  bool hadSaidLeaving(TimePoint from, TimePoint to) const;
  /// Returns when the store acknowledged that the instance is draining or removed.
  std::optional<TimePoint> leavingSince(const std::string& instance) const;

 private:
  void writeSettings();
  void pauseProcess(Duration length, bool is_suspension);
  void onServerCrashed(const std::string& instance, std::uint64_t crasher);
  void onNodeEnded(int status);
  void scheduleFaultEnd(std::size_t fault, Duration length, std::function<void()> undo);
  void scheduleLinkFaultEnd(std::size_t fault, Duration length, std::function<void()> undo);
  std::string entryText(const std::string& state) const;
  std::string entryKey(const std::string& instance) const { return "servers/" + instance; }
  void startServerOf(const std::string& service);
  void endServer(const std::string& instance, Duration downtime);
  void dropCrashedServer();
  void restartServerLater(Duration downtime, std::size_t fault);
  TimePoint now() const { return soak_.environment.now(); }
  void log(const std::string& what) const;

  SoakContext soak_;
  MachineSettings settings_;
  Link link_;
  std::unique_ptr<process_tests::ProcessHandle> process_;
  std::uint32_t incarnation_ = 0;
  std::uint32_t settings_written_ = 0;
  int active_pauses_ = 0;
  bool is_expected_to_end_ = false;
  std::optional<TimePoint> terminated_at_;
  std::optional<std::size_t> downtime_fault_;
  Duration downtime_{};

  std::unique_ptr<BackEnd> server_;
  std::string server_service_;
  std::uint32_t server_starts_ = 0;
  std::uint32_t limits_set_ = 0;
  std::uint64_t heartbeats_written_ = 0;
  std::string state_;  ///< State in the entry; empty if there is no entry.
  bool is_server_leaving_ = false;
  std::map<std::string, TimePoint> leaving_since_;
  /// A time in which the server had said that it leaves.
  struct SaidLeaving {
    TimePoint since;
    std::optional<TimePoint> ended;  ///< Start of the next server.
  };
  std::vector<SaidLeaving> said_leaving_;
};

}  // namespace coursepond::soak
