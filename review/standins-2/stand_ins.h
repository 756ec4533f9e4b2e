#pragma once

/// Stand-ins for the scripts of the second review: the platform's store, application servers,
/// clients, and the processes of the system. Everything listens on loopback addresses; machine N
/// has the address 127.X.0.N with the ports of the users' pages, where X is a free network.
///
/// One thread serves one connection. The program ends with finish(), which ends all processes that
/// it started.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;

constexpr int kInboundPort = 8300;
constexpr int kServerPort = 8301;
constexpr int kReadyPort = 8302;
constexpr int kOutboundPort = 8304;
constexpr int kStorePort = 8309;
constexpr int kPeerPort = 7620;

/// Seconds since the program started, on the steady clock.
inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleepUntil(double when) {
  if (when > now()) sleepFor(when - now());
}

/// Whether the disruption of the case is to be played.
inline bool hasTrouble() {
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string_view(text) != "0";
}

/// A further choice of a case, for a comparison that the claim names.
inline std::string variant() {
  const char* const text = std::getenv("VARIANT");
  return text == nullptr ? "" : text;
}

// ---- The record

inline std::ofstream& recordFile() {
  static std::ofstream file;
  return file;
}

inline void record(const std::string& text) {
  static std::mutex mutex;
  const std::lock_guard<std::mutex> lock(mutex);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f ", now());
  recordFile() << time.data() << text << "\n" << std::flush;
}

// ---- Processes

inline std::set<pid_t>& processes() {
  static std::set<pid_t> pids;
  return pids;
}

/// The temporary folder of the case; empty while there is none.
inline std::string& temporaryFolder() {
  static std::string folder;
  return folder;
}

/// Ends all processes of the case and the program. KEEP=1 keeps the logs of the nodes.
[[noreturn]] inline void finish(int code, const std::string& why) {
  for (const pid_t pid : processes()) ::kill(pid, SIGKILL);
  for (const pid_t pid : processes()) ::waitpid(pid, nullptr, 0);
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr && !temporaryFolder().empty())
    std::filesystem::remove_all(temporaryFolder(), ignored);
  record("exit " + std::to_string(code) + ": " + why);
  std::cout << (code == kExitBroken ? "BROKEN: "
                : code == kExitHeld ? "held: "
                                    : "not run: ")
            << why << std::endl;
  std::_Exit(code);
}

/// Call first. `path`: of the record. Ends the program after `limit` seconds in any case.
inline void begin(const std::string& path, double limit = 110) {
  now();
  ::signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) == 0) {
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
  }
  recordFile().open(path, std::ios::trunc);
  record(hasTrouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
  std::thread([limit] {
    sleepUntil(limit);
    finish(kExitNotRun, "the case took too long");
  }).detach();
}

// ---- Sockets

inline sockaddr_in endpoint(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

/// Returns a listening socket, or -1.
inline int listenOn(const std::string& host, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = endpoint(host, port);
  const bool is_bound =
      ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      ::listen(fd, 512) == 0;
  if (is_bound) return fd;
  ::close(fd);
  return -1;
}

/// Returns a connected socket, or -1.
inline int connectTo(const std::string& host, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = endpoint(host, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool sendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

/// Closes with a reset, as the system does for a process that was killed with unread bytes.
inline void resetAndClose(int fd) {
  const linger hard{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  ::close(fd);
}

// ---- HTTP/1.1

struct Message {
  std::string start;  ///< Request line or status line.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool is_whole = false;

  std::string field(std::string_view name) const {
    for (const auto& [key, value] : fields) {
      const bool is_same = key.size() == name.size() &&
                           std::equal(key.begin(), key.end(), name.begin(), [](char a, char b) {
                             return std::tolower(static_cast<unsigned char>(a)) ==
                                    std::tolower(static_cast<unsigned char>(b));
                           });
      if (is_same) return value;
    }
    return "";
  }
  std::string word(std::size_t index) const {
    std::istringstream words(start);
    std::string text;
    for (std::size_t count = 0; count <= index; ++count) words >> text;
    return text;
  }
  int status() const { return std::atoi(word(1).c_str()); }
};

/// Reads messages from one connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  /// Returns false at the end of the stream, or at `until` (in seconds of now(); 0: no limit).
  bool readHead(Message& message, double until = 0) {
    message = Message();
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(until)) return false;
    }
    std::istringstream lines(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    while (std::getline(lines, line)) {
      if (line.ends_with('\r')) line.pop_back();
      const std::size_t colon = line.find(": ");
      if (message.start.empty()) {
        message.start = line;
      } else if (colon != std::string::npos) {
        message.fields.emplace_back(line.substr(0, colon), line.substr(colon + 2));
      }
    }
    return true;
  }

  bool readBody(Message& message, double until = 0) {
    if (message.field("Transfer-Encoding") == "chunked") return readChunks(message, until);
    const std::string length = message.field("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoull(length);
    while (buffer_.size() < size) {
      if (!fill(until)) {
        message.body = std::exchange(buffer_, "");
        return false;
      }
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return message.is_whole = true;
  }

 private:
  bool readChunks(Message& message, double until) {
    for (;;) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!fill(until)) return false;
      }
      const std::size_t size = std::stoull(buffer_.substr(0, end), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!fill(until)) return false;
      }
      message.body += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) return message.is_whole = true;
    }
  }

  bool fill(double until) {
    pollfd wanted{fd_, POLLIN, 0};
    const int wait = until > 0 ? static_cast<int>(std::max(0.0, (until - now()) * 1000)) : -1;
    if (::poll(&wanted, 1, wait) <= 0) return false;
    std::array<char, 65536> bytes{};
    const ssize_t size = ::recv(fd_, bytes.data(), bytes.size(), 0);
    if (size <= 0) return false;
    buffer_.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline std::string formatAnswer(const std::string& status,
                                const std::vector<std::pair<std::string, std::string>>& fields,
                                const std::string& body) {
  std::string text = "HTTP/1.1 " + status + "\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections until the listening socket is closed; one thread serves each of them.
inline void acceptAll(int listener, const std::function<void(int)>& serve) {
  std::thread([listener, serve] {
    for (;;) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([fd, serve] { serve(fd); }).detach();
    }
  }).detach();
}

// ---- Links

/// The link of one machine: takes connections at an address of its own, passes them on, and limits
/// how many bytes a second reach the machine over all of them together.
class Link {
 public:
  /// `megabits`: rate towards the machine; zero: no limit.
  explicit Link(double megabits) : bytes_per_second_(megabits * 1e6 / 8) {}

  void forward(const std::string& from, const std::string& to, int port) {
    const int listener = listenOn(from, port);
    if (listener < 0) finish(kExitNotRun, "the port of a link is taken");
    // Small windows: what the link does not carry yet waits at its sender.
    const int window = 16 * 1024;
    ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    acceptAll(listener, [this, to, port](int fd) {
      const int target = connectTo(to, port);
      if (target < 0) return resetAndClose(fd);
      std::thread back([fd, target, this] { pump(target, fd, false); });
      pump(fd, target, true);
      back.join();
      ::close(fd);
      ::close(target);
    });
  }

 private:
  static constexpr std::size_t kPieceBytes = 4096;

  void pump(int from, int to, bool is_inbound) {
    std::array<char, kPieceBytes> bytes{};
    for (;;) {
      const ssize_t size = ::recv(from, bytes.data(), bytes.size(), 0);
      if (size <= 0) break;
      if (is_inbound && bytes_per_second_ > 0) sleepUntil(carriedAt(static_cast<double>(size)));
      if (!sendAll(to, {bytes.data(), static_cast<std::size_t>(size)})) break;
    }
    ::shutdown(to, SHUT_WR);
    ::shutdown(from, SHUT_RD);
  }

  double carriedAt(double bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    free_at_ = std::max(free_at_, now()) + bytes / bytes_per_second_;
    return free_at_;
  }

  const double bytes_per_second_;
  std::mutex mutex_;
  double free_at_ = 0;
};

// ---- The platform's store

inline std::string encodeBase64(std::string_view bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      const bool exists = at + index < bytes.size();
      group = group << 8U | (exists ? static_cast<unsigned char>(bytes[at + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      const bool is_padding = at + index > bytes.size();
      text += is_padding ? '=' : kDigits[group >> (18 - 6 * index) & 63U];
    }
  }
  return text;
}

/// Keeps items with revisions, answers ranges in one page, and watches. Its answer to a write is
/// the acknowledgement, which it gives at once.
class Store {
 public:
  void start(const std::string& host) {
    const int listener = listenOn(host, kStorePort);
    if (listener < 0) finish(kExitNotRun, "the store's port is taken");
    acceptAll(listener, [this](int fd) { serve(fd); });
  }

  void put(const std::string& key, const std::string& value) { change(key, &value); }
  void remove(const std::string& key) { change(key, nullptr); }

 private:
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    std::string json;
  };

  void change(const std::string& key, const std::string* value) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (value == nullptr && !items_.contains(key)) return;
      ++revision_;
      const std::string begin =
          R"({"private_key":")" + key + "\",\"revision\":" + std::to_string(revision_) + ",";
      const std::string json =
          value == nullptr
              ? begin + "\"gone\":true}"
              : begin + R"("created_at":1,"lease_id":0,"value":")" + encodeBase64(*value) + "\"}";
      if (value == nullptr) {
        items_.erase(key);
      } else {
        items_[key] = json;
      }
      events_.push_back({key, revision_, json});
    }
    changed_.notify_all();
  }

  static std::string parameter(const std::string& target, const std::string& name) {
    std::istringstream pairs(target.substr(std::min(target.find('?') + 1, target.size())));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
      if (pair.starts_with(name + "=")) return pair.substr(name.size() + 1);
    }
    return "";
  }

  void serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.readHead(request) && reader.readBody(request)) {
      sleepFor(0.004);
      const std::string body = answer(request.word(1));
      const bool is_known = !body.empty();
      const std::vector<std::pair<std::string, std::string>> fields = {
          {"Content-Type", "application/json"}, {"Store-Era", "0"}};
      if (!sendAll(fd, formatAnswer(is_known ? "200 OK" : "404 Not Found", fields, body))) break;
    }
    ::close(fd);
  }

  std::string answer(const std::string& target) {
    const std::string prefix = parameter(target, "path_prefix");
    std::unique_lock<std::mutex> lock(mutex_);
    std::string list;
    if (target.starts_with("/-/kv-range")) {
      const std::string after = parameter(target, "after");
      for (const auto& [key, json] : items_) {
        const bool is_asked = key.starts_with(prefix) && (after.empty() || key > after);
        if (is_asked) list += (list.empty() ? "" : ",") + json;
      }
      return "{\"items\":[" + list +
             "],\"has_more\":false,\"timestamp\":" + std::to_string(revision_) + "}";
    }
    if (!target.starts_with("/-/kv-watch")) return "";
    const std::uint64_t after = std::stoull("0" + parameter(target, "after"));
    const auto wait = std::chrono::milliseconds(std::stoull("0" + parameter(target, "wait_ms")));
    changed_.wait_for(lock, wait, [&] {
      return std::any_of(events_.begin(), events_.end(), [&](const Event& event) {
        return event.revision > after && event.key.starts_with(prefix);
      });
    });
    for (const Event& event : events_) {
      const bool is_asked = event.revision > after && event.key.starts_with(prefix);
      if (is_asked) list += (list.empty() ? "" : ",") + event.json;
    }
    return "{\"events\":[" + list + "],\"timestamp\":" + std::to_string(revision_) + "}";
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::string> items_;
  std::vector<Event> events_;
  std::uint64_t revision_ = 0;
};

// ---- Application servers

/// What a server does with a request.
struct Reaction {
  int status = 200;
  std::size_t answer_bytes = 100;
  double work = 0.05;  ///< Seconds.
  /// The server crashes at the end of the work, after this many bytes of the answer's body.
  bool crashes = false;
  std::size_t bytes_before_crash = 0;
};

/// The server of one machine. Each start is a new instance with a new id.
class Server {
 public:
  using Handler = std::function<Reaction(const Message& request, const std::string& instance)>;

  Server(Store& store, std::string host, std::string service, std::string zone, Handler handler)
      : store_(store),
        host_(std::move(host)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        handler_(std::move(handler)) {}

  const std::string& service() const { return service_; }
  const std::string& host() const { return host_; }
  std::string instance() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return instance_;
  }

  void start() {
    const int listener = listenOn(host_, kServerPort);
    if (listener < 0) finish(kExitNotRun, "a server's port is taken");
    static std::atomic<int> starts = 0;
    std::string instance;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      instance_ = instance = "i-" + service_ + "-" + std::to_string(++starts);
      listener_ = listener;
      born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
    }
    acceptAll(listener, [this, instance](int fd) { serve(fd, instance); });
    write("ready");
    record("server " + instance + " started at " + host_);
  }

  /// Says that the server leaves. Returns when the store has taken that.
  double drain() {
    write("draining");
    record("server " + instance() + " is draining (the store has taken it)");
    return now();
  }

  /// Ends the server without a word. It is back after `down` seconds, as a new instance.
  void crash(double down) {
    std::string instance;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (listener_ < 0) return;
      ::shutdown(listener_, SHUT_RDWR);
      ::close(std::exchange(listener_, -1));
      // Each connection is closed by its own thread, which this wakes.
      for (const int fd : connections_) ::shutdown(fd, SHUT_RD);
      instance = instance_;
    }
    record("server " + instance + " crashed");
    std::thread([this, instance, down] {
      sleepFor(down);
      start();
      sleepFor(std::max(0.0, kHeartbeat * 3 - down));
      store_.remove("servers/" + instance);
    }).detach();
  }

 private:
  static constexpr double kHeartbeat = 1.5;

  void write(const std::string& state) {
    const std::lock_guard<std::mutex> lock(mutex_);
    store_.put("servers/" + instance_, R"({"service":")" + service_ + R"(","address":")" + host_ +
                                           ":" + std::to_string(kServerPort) + R"(","zone":")" +
                                           zone_ + R"(","version":"v1","slots":)" +
                                           std::to_string(slots) + R"(,"state":")" + state +
                                           R"(","cold_remaining":"0ms","sequence":1,"born":)" +
                                           std::to_string(born_) + "}");
  }

  void serve(int fd, const std::string& instance) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (!isRunning(instance)) return resetAndClose(fd);
      connections_.insert(fd);
    }
    Reader reader(fd);
    Message request;
    while (reader.readHead(request)) {
      const std::string id = request.field("Coursepond-Request-Id");
      const std::string target = request.field("Coursepond-Target-Instance");
      if (request.word(1) == "/health") {
        if (!sendAll(fd, formatAnswer("200 OK", {{"Coursepond-Instance-Id", instance}}, ""))) break;
        continue;
      }
      if (!target.empty() && target != instance) {
        if (!reader.readBody(request)) break;
        const std::vector<std::pair<std::string, std::string>> fields = {
            {"Coursepond-Instance-Id", instance}, {"Coursepond-Request-Id", id}};
        if (!sendAll(fd, formatAnswer("421 Misdirected Request", fields, ""))) break;
        continue;
      }
      record("arrival " + id + " at " + instance);
      if (on_head) on_head(request, instance);
      if (!reader.readBody(request)) {
        record("cut " + id + " at " + instance + " before its body was whole");
        break;
      }
      const Reaction reaction = handler_(request, instance);
      sleepFor(reaction.work);
      if (!answer(fd, id, instance, reaction)) break;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_.erase(fd);
    isRunning(instance) ? static_cast<void>(::close(fd)) : resetAndClose(fd);
  }

  /// Call with the lock.
  bool isRunning(const std::string& instance) const {
    return listener_ >= 0 && instance == instance_;
  }

  bool answer(int fd, const std::string& id, const std::string& instance,
              const Reaction& reaction) {
    const std::string body(reaction.answer_bytes, 'a');
    const std::vector<std::pair<std::string, std::string>> fields = {
        {"Coursepond-Request-Id", id},
        {"Coursepond-Response-Signature", "signed." + id},
        {"Coursepond-Instance-Id", instance},
        {"Coursepond-Server-Load", "1,0," + std::to_string(slots)}};
    const std::string text = formatAnswer(std::to_string(reaction.status) + " OK", fields, body);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (!isRunning(instance)) return false;
    }
    if (!reaction.crashes) return sendAll(fd, text);
    if (reaction.bytes_before_crash > 0) {
      sendAll(fd, text.substr(0, text.size() - body.size() + reaction.bytes_before_crash));
      sleepFor(0.2);
    }
    crash(2.5);
    return false;
  }

 public:
  /// The number of slots that the server's entry names. Change it before start() only.
  int slots = 18;
  /// Called when the head of a request has arrived, before its body.
  std::function<void(const Message& request, const std::string& instance)> on_head;

 private:
  Store& store_;
  const std::string host_;
  const std::string service_;
  const std::string zone_;
  const Handler handler_;
  std::mutex mutex_;
  std::string instance_;
  std::set<int> connections_;
  int listener_ = -1;
  long long born_ = 0;
};

// ---- The system

/// A mesh of machines, each with one process of the system.
class Mesh {
 public:
  struct Machine {
    std::string name;
    std::string host;
    std::string zone;
    std::string service;
    /// Where others reach the machine, and its server listens; the same as `host` without a Link.
    std::string link_host;
    pid_t pid = -1;
  };

  /// `bounds`: names and values, as in the settings file of DEPLOY.md.
  Mesh(std::map<std::string, std::string> bounds, std::string link_mbps,
       std::vector<std::uint32_t> preferred_networks = {})
      : bounds_(std::move(bounds)), link_mbps_(std::move(link_mbps)) {
    chooseNetwork(std::move(preferred_networks));
    std::array<char, 64> name{};
    std::snprintf(name.data(), name.size(), "/tmp/coursepond-review-XXXXXX");
    if (::mkdtemp(name.data()) == nullptr) finish(kExitNotRun, "no temporary folder");
    temporaryFolder() = folder_ = name.data();
  }

  std::string hostOf(std::size_t number) const {
    return "127." + std::to_string(network_) + ".0." + std::to_string(number + 1);
  }
  /// An address at which nobody listens.
  std::string foreignHost(int number) const {
    return "127." + std::to_string(network_) + "." + std::to_string(2 + number / 200) + "." +
           std::to_string(1 + number % 200);
  }
  std::string storeHost() const { return "127." + std::to_string(network_) + ".1.1"; }
  std::vector<Machine>& machines() { return machines_; }

  void add(const std::string& zone, const std::string& service) {
    const std::size_t number = machines_.size();
    const std::string host = hostOf(number);
    machines_.push_back({"sidecar-" + std::to_string(number + 1), host, zone, service, host});
  }

  /// Puts the machine behind a link of its own. Call before startAll() and before its server is
  /// made.
  void addLink(std::size_t number, double megabits) {
    Machine& machine = machines_[number];
    machine.link_host = "127." + std::to_string(network_) + ".7." + std::to_string(number + 1);
    links_.push_back(std::make_unique<Link>(megabits));
    links_.back()->forward(machine.link_host, machine.host, kInboundPort);
    links_.push_back(std::make_unique<Link>(0));
    links_.back()->forward(machine.link_host, machine.host, kPeerPort);
  }

  void startAll() {
    for (Machine& machine : machines_) start(machine);
    for (const Machine& machine : machines_) {
      while (!isReady(machine)) {
        if (now() > 30) finish(kExitNotRun, machine.name + " does not become ready");
        sleepFor(0.1);
      }
    }
    record(std::to_string(machines_.size()) + " nodes are ready");
  }

  void start(Machine& machine) {
    const std::string path = folder_ + "/" + machine.name;
    const std::map<std::string, std::string> values = valuesOf(machine);
    std::ofstream(path + ".toml") << fill(readFile("deploy/node.toml.template"), values);
    std::vector<std::string> words = commandOf(values);
    std::replace(words.begin(), words.end(), std::string("/etc/coursepond/node.json"),
                 path + ".toml");
    std::vector<char*> arguments;
    for (std::string& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open((path + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
      ::execv(arguments[0], arguments.data());
      std::_Exit(127);
    }
    machine.pid = pid;
    processes().insert(pid);
  }

  static bool isReady(const Machine& machine) {
    const int fd = connectTo(machine.host, kReadyPort);
    if (fd < 0) return false;
    Message answer;
    sendAll(fd, "GET /-/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
    const bool is_ready = Reader(fd).readHead(answer, now() + 1) && answer.status() == 200;
    ::close(fd);
    return is_ready;
  }

  const std::string& folder() const { return folder_; }

 private:
  /// Tries the preferred networks first, and then all others.
  void chooseNetwork(std::vector<std::uint32_t> candidates) {
    const auto first = static_cast<std::uint32_t>(::getpid());
    for (std::uint32_t step = 0; step < 200; ++step)
      candidates.push_back(20 + (first + step) % 200);
    for (const std::uint32_t candidate : candidates) {
      network_ = candidate;
      bool is_free = true;
      for (const int port : {kInboundPort, kServerPort, kReadyPort, kOutboundPort, kPeerPort}) {
        const int fd = listenOn(hostOf(0), port);
        is_free = is_free && fd >= 0;
        if (fd >= 0) ::close(fd);
      }
      const int fd = listenOn(storeHost(), kStorePort);
      if (fd >= 0) ::close(fd);
      if (is_free && fd >= 0) return;
    }
    finish(kExitNotRun, "no free network");
  }

  static std::string readFile(const std::string& path) {
    std::ifstream file(path);
    if (!file) finish(kExitNotRun, "cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

  std::map<std::string, std::string> valuesOf(const Machine& machine) const {
    const auto at = [&](int port) { return machine.host + ":" + std::to_string(port); };
    std::map<std::string, std::string> values = {
        {"node_name", machine.name},
        {"zone", machine.zone},
        {"ip", machine.host},
        {"listen.outbound", at(kOutboundPort)},
        {"listen.inbound", at(kInboundPort)},
        {"listen.ready", at(kReadyPort)},
        {"ephemeral_ports.0", std::to_string(kPeerPort)},
        {"app_addr", machine.link_host + ":" + std::to_string(kServerPort)},
        {"service", machine.service},
        {"zones|json", R"({"hall-a":"east","hall-b":"east","hall-c":"east","hall-d":"east"})"},
        {"limits.link_mbps", link_mbps_},
        {"platform.address", storeHost() + ":" + std::to_string(kStorePort)}};
    for (const auto& [name, value] : bounds_) values["bounds." + name] = value;
    return values;
  }

  /// Fills the gaps of a template; a gap without a value becomes empty.
  static std::string fill(std::string text, const std::map<std::string, std::string>& values) {
    std::size_t begin = 0;
    while ((begin = text.find("{{")) != std::string::npos) {
      const std::size_t end = text.find("}}", begin);
      const auto value = values.find(text.substr(begin + 2, end - begin - 2));
      text.replace(begin, end + 2 - begin, value == values.end() ? "" : value->second);
    }
    return text;
  }

  /// Returns the command of the role in the deploy file.
  static std::vector<std::string> commandOf(const std::map<std::string, std::string>& values) {
    const std::string deploy = readFile("deploy/system.toml");
    const std::size_t begin = deploy.find("run = \"") + 7;
    std::istringstream words(fill(deploy.substr(begin, deploy.find('"', begin) - begin), values));
    std::vector<std::string> command;
    std::string word;
    while (words >> word) command.push_back(word);
    return command;
  }

  const std::map<std::string, std::string> bounds_;
  const std::string link_mbps_;
  std::uint32_t network_ = 0;
  std::string folder_;
  std::vector<Machine> machines_;
  std::vector<std::unique_ptr<Link>> links_;
};

/// The bounds of the users' page for magnolia-fonts and trfpo-mesh.
inline std::map<std::string, std::string> smallBounds() {
  return {{"drain", "2000ms"}, {"config_apply", "2000ms"},    {"contact", "3000ms"},
          {"grace", "6s"},     {"retry_budget_ratio", "0.2"}, {"budget_slack", "62"}};
}

// ---- Clients

struct Request {
  std::string id;
  std::string method = "GET";
  std::string host;
  std::string path;
  std::string body;
  int deadline_ms = 5000;
};

inline std::string nextId() {
  static std::atomic<std::uint32_t> last = 0;
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x", static_cast<unsigned>(::getpid()), ++last);
  return text.data();
}

inline std::string formatRequest(const Request& request) {
  std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host +
                     "\r\nCoursepond-Request-Id: " + request.id +
                     "\r\nCoursepond-Deadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n";
  if (request.method != "GET")
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  return text + "\r\n" + request.body;
}

/// A client's connection to a node, which it keeps for several requests.
class Connection {
 public:
  explicit Connection(const std::string& host)
      : fd_(connectTo(host, kOutboundPort)), reader_(fd_) {}
  ~Connection() {
    if (fd_ >= 0) ::close(fd_);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Sends the request and returns its answer. Status 0: no answer, or a broken one.
  Message ask(const Request& request) {
    Message answer;
    const double until = now() + request.deadline_ms / 1000.0 + 0.5;
    if (fd_ < 0) return answer;
    // A node may answer before it has read the whole request, so the answer is read in any case.
    sendAll(fd_, formatRequest(request));
    do {
      if (!reader_.readHead(answer, until)) return Message();
    } while (answer.status() / 100 == 1);
    reader_.readBody(answer, until);
    return answer;
  }

 private:
  int fd_;
  Reader reader_;
};

/// Sends the request on a new connection, and records it and its answer.
inline Message ask(const Mesh::Machine& machine, const Request& request, const std::string& what) {
  record("sent " + request.id + " (" + what + ") at " + machine.name);
  Connection connection(machine.host);
  const Message answer = connection.ask(request);
  const std::string outcome = answer.start.empty() ? "no answer" : std::to_string(answer.status());
  record("answered " + request.id + " (" + what + "): " + outcome +
         (answer.start.empty() || answer.is_whole
              ? ""
              : ", cut after " + std::to_string(answer.body.size()) + " bytes"));
  return answer;
}

// ---- The configuration

/// A route of the configuration, as JSON. `target`: "\"service\":\"NAME\"" or a split.
inline std::string routeJson(const std::string& name, const std::string& host,
                             const std::string& prefix, const std::string& type,
                             const std::string& timeout, const std::string& target) {
  return R"({"entry_type":"routes","metadata":{"name":")" + name + R"("},"spec":{"host":")" + host +
         R"(","path_prefix":")" + prefix + R"(","type":")" + type + R"(","timeout":")" + timeout +
         R"(","target_latency":"800ms","priority":1,"max_attempts":2,)" + target + "}}";
}

inline std::string serviceJson(const std::string& name) {
  return R"({"entry_type":"services","metadata":{"name":")" + name +
         R"("},"spec":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false}})";
}

inline std::string limitsJson(std::size_t body_bytes) {
  return R"({"entry_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":)" +
         std::to_string(body_bytes) + R"(,"header_timeout":"3000ms","idle_timeout":"15000ms"}})";
}

inline std::string configurationJson(int version, const std::vector<std::string>& resources) {
  std::string list;
  for (const std::string& resource : resources) list += (list.empty() ? "" : ",") + resource;
  return "{\"version\":\"r" + std::to_string(version) + "\",\"resources\":[" + list + "]}";
}

}  // namespace review
