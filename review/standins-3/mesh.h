#pragma once

/// Stand-ins of the third review: the platform's store, application servers, and the machines of a
/// small deployment. The nodes are the project's own program, started as separate processes with
/// the command of deploy/system.toml and the settings of deploy/node.toml.template. All addresses
/// are loopback addresses.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Thrown when a case cannot run.
struct CannotRun {
  std::string what;
};

/// Whether the case makes its disruption: the variable TROUBLE is not "0".
bool makesTrouble();

/// The file record.txt: one line per event, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void line(const std::string& text);
  std::int64_t now() const;

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
  Clock::time_point start_ = Clock::now();
};

/// A blocking connection. All reads end at a deadline.
class Connection {
 public:
  Connection() = default;
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool open(const std::string& host, int port);
  bool isOpen() const { return descriptor_ >= 0; }
  void close();
  /// Closes with a reset.
  void reset();
  bool send(const std::string& bytes);

  struct Message {
    std::string first_line;
    std::map<std::string, std::string> fields;  ///< Names in lower case.
    std::string body;
    int status() const;
    std::string field(const std::string& name) const;
  };
  /// Reads one message with its body; nothing if the peer closed or `until` passed.
  std::optional<Message> read(Clock::time_point until);

 private:
  bool fill(Clock::time_point until);
  std::optional<std::string> takeLine(Clock::time_point until);
  std::optional<std::string> take(std::size_t size, Clock::time_point until);

  int descriptor_ = -1;
  std::string buffer_;
};

/// Accepts connections and serves each one in a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Connection&)>;
  Listener(const std::string& host, int port, Serve serve);
  ~Listener();

 private:
  Serve serve_;
  int descriptor_ = -1;
  std::thread thread_;
};

/// The platform's store (PROTOCOL.md). Keeps all of its history.
class Store {
 public:
  Store(const std::string& host, int port);
  /// Returns when the store has taken the value, which is its acknowledgement.
  void put(const std::string& key, const std::string& value);

 private:
  void serve(Connection& connection);
  std::string range(const std::map<std::string, std::string>& query);
  std::string watch(const std::map<std::string, std::string>& query);

  struct Item {
    std::string key;
    std::string text;  ///< JSON.
    std::uint64_t revision = 0;
  };
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Item> history_;
  std::uint64_t revision_ = 0;
  std::unique_ptr<Listener> listener_;
};

/// One run of a request.
struct Run {
  std::string request;
  std::string server;
  std::string service;
};

struct Machine {
  std::string name;
  std::string host;
  std::string zone;
  std::string service;
  std::string server_id;
  std::atomic<int> work_ms{20};
  std::atomic<std::size_t> answer_bytes{0};  ///< Added to the body of each answer.
  std::atomic<int> broken_per_thousand{0};   ///< Of its answers, broken off half way.
  std::unique_ptr<Listener> server;
  pid_t node = -1;
};

struct Deployment {
  std::vector<std::string> services;
  int machines = 12;
  int zones = 4;
};

class Mesh {
 public:
  Mesh(const Deployment& deployment, Record& record);
  ~Mesh();

  /// The resources of the services, in JSON, for a configuration.
  std::string serviceResources() const;
  /// Writes op/config and returns when the store has acknowledged it.
  void configure(std::uint64_t version, const std::string& resources);
  /// Starts all nodes and waits until each one says that it is ready.
  void start();

  std::vector<std::unique_ptr<Machine>>& machines() { return machines_; }
  Record& record() { return record_; }
  /// A new request id.
  std::string nextId();
  int callerPort() const { return kCallerPort; }

  /// The server that ran the request; null if none did.
  const Machine* serverOf(const std::string& request);
  /// Whether a node has ended by itself.
  bool hasNodeEnded();

 private:
  static constexpr int kIngressPort = 8300;
  static constexpr int kServerPort = 8301;
  static constexpr int kReadyPort = 8302;
  static constexpr int kCallerPort = 8304;
  static constexpr int kFirstPeerPort = 7620;
  static constexpr int kStorePort = 8309;

  std::string settingsOf(const Machine& machine) const;
  void launch(Machine& machine);
  void serve(Machine& machine, Connection& connection);
  void beat();
  bool isReady(const Machine& machine) const;

  Record& record_;
  Deployment deployment_;
  std::string network_;
  std::string folder_;
  std::string template_;
  std::string bounds_word_;
  std::string program_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::mutex runs_mutex_;
  std::map<std::string, const Machine*> runs_;  ///< By request.
  std::atomic<std::uint64_t> last_id_{0};
  std::atomic<bool> stopping_{false};
  std::thread beats_;
};

/// Runs a case: returns its exit code and reports why it could not run.
int runCase(const std::function<int(Record&)>& play);

}  // namespace review
