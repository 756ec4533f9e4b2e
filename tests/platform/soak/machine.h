#pragma once

/// One machine of a soak: a real node process, the server beside it, its link, and its entry in the
/// store.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "back_end.h"
#include "core/environment.h"
#include "link.h"
#include "process/process_handle.h"
#include "store_stand_in.h"
#include "trouble_book.h"

namespace coursepond::soak {

/// What the deployment promises; also told to the nodes.
struct Bounds {
  Duration drain = std::chrono::seconds(2);
  Duration config_apply = std::chrono::seconds(2);
  Duration contact = std::chrono::seconds(3);
  Duration grace = std::chrono::seconds(6);
};

/// Between two writes of a server's entry.
inline constexpr Duration kHeartbeat = std::chrono::milliseconds(1500);
/// A server that fell silent loses its entry after three heartbeats.
inline constexpr Duration kEntryLife = 3 * kHeartbeat;

/// Whether no soak listens on a network now: each listens for its first machine's store.
bool isNetworkFree(std::uint32_t network);

struct MachineSettings {
  std::string name;
  std::size_t number = 0;     ///< From 0.
  std::uint32_t network = 0;  ///< Second part of its loopback addresses.
  std::string zone;
  std::string service;
  std::string folder;  ///< Of its settings and log.
  std::uint64_t link_rate = 0;
  Bounds bounds;
};

/// What all machines of a soak share.
struct Surroundings {
  boost::asio::io_context& context;
  Environment& environment;
  platform::StoreStandIn& store;
  Ledger& ledger;
  TroubleBook& troubles;
  /// A request is read by the server of that instance.
  std::function<void(const std::string& machine, const std::string& instance,
                     const std::string& request)>
      on_arrival;
  /// A request of that number crashed a server.
  std::function<void(std::uint64_t crasher)> on_crash;
  /// Something that must not happen to a process.
  std::function<void(const std::string& kind, const std::string& story)> on_violation;
  std::function<void(const std::string& line)> log;
};

class Machine {
 public:
  /// Listens on loopback addresses of its own; starts neither process nor server.
  Machine(Surroundings surroundings, MachineSettings settings);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  const std::string& name() const { return settings_.name; }
  const std::string& service() const { return settings_.service; }
  /// Where troubles of its server are noted; those of the process and link are under its name.
  std::string serverPlace() const { return "server of " + settings_.name; }
  Address callers() const;
  std::uint32_t nodeLife() const { return life_; }
  bool isNodeRunning() const { return process_ != nullptr; }

  /// Faults of the process; each does nothing while there is none to hit.
  void startNode();
  void terminateNode(Duration away);
  void killNode(Duration away);
  void freezeNode(Duration length);
  /// The same, and its steady clock does not count the time (see suspend_clock.cpp).
  void suspendNode(Duration length);
  /// Writes changed settings and tells the process.
  void hangUpNode();
  /// Looks whether the process has ended; to be called often.
  void pollNode();

  /// Faults of the link.
  void delayLink(Duration one_way, Duration length);
  void narrowLink(std::uint64_t bytes_per_second, Duration length);
  void silenceLink(Direction direction, Duration length);
  void resetLink();

  /// The server.
  void startServer();
  /// Says that it leaves, or lets its entry go without a word; serves on for `length`, ends and is
  /// started anew after `away`.
  void drainServer(bool says_so, Duration length, Duration away);
  void crashServer(Duration away);
  void slowServer(double factor, Duration length);
  /// Its entry goes though it runs, and comes back.
  void lapseEntry(Duration length);
  void heartbeat();
  /// Whether the server that runs now keeps this entry of the store.
  bool writes(const std::string& key) const;
  /// Since when the instance is leaving or gone, as the store acknowledged it.
  std::optional<TimePoint> leavingSince(const std::string& instance) const;

 private:
  void writeSettings();
  void standStill(Duration length, bool is_suspension);
  void onServerCrashed(const std::string& instance, std::uint64_t crasher);
  void onNodeEnded(int status);
  void endTroubleLater(std::size_t trouble, Duration length, std::function<void()> undo);
  std::string entryText(const std::string& state) const;
  std::string entryKey(const std::string& instance) const { return "servers/" + instance; }
  void endServer(const std::string& instance, Duration away);
  void restartServerLater(Duration away, std::size_t trouble);
  TimePoint now() const { return at_.environment.now(); }
  void log(const std::string& what) const;

  Surroundings at_;
  MachineSettings settings_;
  Link link_;
  std::unique_ptr<process_tests::ProcessHandle> process_;
  std::uint32_t life_ = 0;
  std::uint32_t settings_written_ = 0;
  int freezes_ = 0;
  bool is_expected_to_end_ = false;
  std::optional<TimePoint> terminated_at_;
  std::optional<std::size_t> away_trouble_;
  Duration away_{};

  std::unique_ptr<BackEnd> server_;
  std::uint32_t server_starts_ = 0;
  std::uint64_t beats_ = 0;
  std::string state_;  ///< As the entry says; empty: it has no entry.
  bool is_server_leaving_ = false;
  std::map<std::string, TimePoint> leaving_since_;
};

}  // namespace coursepond::soak
