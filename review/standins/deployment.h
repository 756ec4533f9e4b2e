#pragma once

/// A small deployment on loopback: the platform's store, machines with a node process and a server
/// each, and a record of what was sent, answered and run.

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

namespace review {

/// Exit codes of a case.
enum class Verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

/// record.txt: one line an event, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void write(const std::string& line);
  Milliseconds now() const {
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - start_);
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

/// One thread for each connection of a listener.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;
  Listener(const Endpoint& at, Handler handler);
  ~Listener();
  /// Stops listening and resets all connections, like a process that was killed.
  void crash();
  bool isListening() const { return descriptor_ >= 0; }
  bool isOver() const { return is_over_; }

 private:
  void acceptAll();
  void serve(int descriptor);

  Handler handler_;
  int descriptor_;
  std::atomic<bool> is_over_ = false;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// The platform's metadata store, as PROTOCOL.md tells it: ranges, and watches that wait.
class Store {
 public:
  Store(const Endpoint& at, Record& record);

  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);
  bool isListening() const { return listener_->isListening(); }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    std::string value;
    bool is_gone = false;
  };

  void serve(Connection& connection);
  std::string rangeAnswer(const std::string& target);
  std::string watchAnswer(const std::string& target);

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::uint64_t revision_ = 100;
  std::unique_ptr<Listener> listener_;
};

/// A request that a server began to work on.
struct Run {
  std::string request;
  std::string service;
  std::string instance;
  std::string method;
  std::string target;
  bool was_broken_off = false;
};

/// What all servers ran.
class Runs {
 public:
  std::size_t begin(Run run);
  void breakOff(std::size_t index);
  std::vector<Run> all() const;
  std::vector<Run> of(const std::string& request) const;

 private:
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

/// An application server. It works on a request for as long as "work_ms" in its query says.
class Server {
 public:
  Server(const Endpoint& at, std::string service, std::string instance, std::string zone,
         Store& store, Runs& runs, Record& record);
  ~Server();

  /// Writes its entry: "ready" or "draining".
  void writeEntry(const std::string& state);
  /// Ends without a word. Its entry stays until removeEntry().
  void crash();
  void removeEntry();
  const std::string& instance() const { return instance_; }
  bool isListening() const { return listener_->isListening(); }

 private:
  void serve(Connection& connection);
  void run(Connection& connection, const Message& request);

  Endpoint at_;
  std::string service_;
  std::string instance_;
  std::string zone_;
  Store& store_;
  Runs& runs_;
  Record& record_;
  std::unique_ptr<Listener> listener_;
};

/// A process that this case started.
class Process {
 public:
  /// Standard output and error go to `log`.
  Process(const std::vector<std::string>& command, const std::string& log);
  ~Process();
  void signal(int number) const;
  /// Returns whether the process has ended by `timeout`.
  bool endsWithin(Milliseconds timeout);
  pid_t id() const { return id_; }

 private:
  pid_t id_;
  bool has_ended_ = false;
};

/// One machine: its addresses, and its node process while that runs.
struct Machine {
  std::string name;
  std::string host;
  std::string service;
  std::string zone;
  Endpoint outbound;
  Endpoint inbound;
  Endpoint ready;
  Endpoint app;
  std::uint16_t peer_port = 0;
  std::unique_ptr<Process> node;
};

class Deployment {
 public:
  /// Machines with these services, in this order. `root` is the repository.
  Deployment(std::string root, const std::string& record, const std::vector<std::string>& services);
  ~Deployment();

  bool isUsable() const { return is_usable_; }
  Record& record() { return record_; }
  Store& store() { return *store_; }
  Runs& runs() { return runs_; }
  Machine& machine(std::size_t index) { return machines_.at(index); }
  std::size_t machines() const { return machines_.size(); }

  /// Starts a server at the address of a machine.
  std::unique_ptr<Server> startServer(std::size_t index, const std::string& service,
                                      const std::string& instance);
  /// Starts the node of a machine with the command of deploy/system.toml.
  void startNode(std::size_t index);
  /// Waits until the node answers 200 to GET /-/ready.
  bool becomesReady(std::size_t index, Milliseconds timeout);

 private:
  bool findPorts(const std::vector<std::string>& services);
  std::string settingsOf(const Machine& machine) const;
  std::vector<std::string> commandOf(const std::string& settings) const;

  std::string root_;
  std::string folder_;
  Record record_;
  Runs runs_;
  Endpoint store_at_;
  std::unique_ptr<Store> store_;
  std::vector<Machine> machines_;
  std::vector<std::string> zones_{"hall-a", "hall-b", "hall-c", "hall-d"};
  bool is_usable_ = false;
};

/// One route of a configuration.
struct Route {
  std::string name;
  std::string path_prefix;
  std::string type;
  std::string service;
};

inline constexpr char kHost[] = "jepu9.example";

/// Returns a configuration as the operator writes it to op/config.
std::string configuration(int version, const std::vector<Route>& routes,
                          const std::vector<std::string>& services);

/// Returns a request of a client as the bytes on the wire.
std::string request(const std::string& method, const std::string& target, const std::string& id,
                    int deadline_ms, const std::string& body = "");

/// Whether the case plays its disruption: TROUBLE=0 leaves it out.
bool playsTrouble();

/// Runs a case: argv[1] is the repository, argv[2] the record. Ends the process with the verdict,
/// and with kCouldNotRun after `limit`.
int runCase(int argc, char** argv, const std::vector<std::string>& services,
            Verdict (*play)(Deployment&));

}  // namespace review
