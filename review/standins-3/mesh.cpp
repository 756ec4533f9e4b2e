#include "mesh.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

namespace review {
namespace {

sockaddr_in addressOf(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

int listenOn(const std::string& host, int port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  const sockaddr_in address = addressOf(host, port);
  const bool listens =
      ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      ::listen(descriptor, 512) == 0;
  if (listens) return descriptor;
  ::close(descriptor);
  return -1;
}

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw CannotRun{"cannot read " + path + "; run this at the root of the repository"};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void replaceAll(std::string& text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at)) {
    text.replace(at, from.size(), to);
    at += to.size();
  }
}

std::string base64(const std::string& bytes) {
  static constexpr char kLetters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t place = 0; place < 3; ++place) {
      const std::size_t index = at + place;
      group = group << 8U | (index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U);
    }
    for (int place = 0; place < 4; ++place) {
      const bool is_padding = at + static_cast<std::size_t>(place) > bytes.size();
      text += is_padding ? '=' : kLetters[group >> (18 - 6 * place) & 63U];
    }
  }
  return text;
}

std::map<std::string, std::string> queryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  std::istringstream pairs(target.substr(std::min(target.find('?') + 1, target.size())));
  for (std::string pair; std::getline(pairs, pair, '&');) {
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) query[pair.substr(0, equals)] = pair.substr(equals + 1);
  }
  return query;
}

std::string answer(const std::string& status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

}  // namespace

bool makesTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---- Record

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr) throw CannotRun{"cannot write " + path};
}
Record::~Record() { std::fclose(file_); }

std::int64_t Record::now() const {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - start_).count();
}

void Record::line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "%8lld  %s\n", static_cast<long long>(now()), text.c_str());
  std::fflush(file_);
}

// ---- Connection

bool Connection::open(const std::string& host, int port) {
  close();
  buffer_.clear();
  descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = addressOf(host, port);
  if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close();
    return false;
  }
  const int yes = 1;
  ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return true;
}

void Connection::close() {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

void Connection::reset() {
  const linger at_once{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

bool Connection::send(const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t size =
        ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool Connection::fill(Clock::time_point until) {
  const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
  if (descriptor_ < 0 || left <= 0) return false;
  pollfd waited{descriptor_, POLLIN, 0};
  if (::poll(&waited, 1, static_cast<int>(left)) <= 0) return false;
  char bytes[16384];
  const ssize_t size = ::recv(descriptor_, bytes, sizeof bytes, 0);
  if (size <= 0) return false;
  buffer_.append(bytes, static_cast<std::size_t>(size));
  return true;
}

std::optional<std::string> Connection::takeLine(Clock::time_point until) {
  for (;;) {
    const std::size_t end = buffer_.find("\r\n");
    if (end != std::string::npos) {
      std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 2);
      return line;
    }
    if (!fill(until)) return std::nullopt;
  }
}

std::optional<std::string> Connection::take(std::size_t size, Clock::time_point until) {
  while (buffer_.size() < size) {
    if (!fill(until)) return std::nullopt;
  }
  std::string bytes = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return bytes;
}

std::optional<Connection::Message> Connection::read(Clock::time_point until) {
  Message message;
  auto line = takeLine(until);
  if (!line) return std::nullopt;
  message.first_line = *line;
  while ((line = takeLine(until)) && !line->empty()) {
    const std::size_t colon = line->find(':');
    if (colon == std::string::npos) return std::nullopt;
    const std::size_t value = line->find_first_not_of(' ', colon + 1);
    message.fields[lower(line->substr(0, colon))] =
        value == std::string::npos ? "" : line->substr(value);
  }
  if (!line) return std::nullopt;
  if (lower(message.field("transfer-encoding")) == "chunked") {
    for (;;) {
      const auto size_line = takeLine(until);
      if (!size_line) return std::nullopt;
      const auto size = static_cast<std::size_t>(std::strtoul(size_line->c_str(), nullptr, 16));
      const auto chunk = take(size + 2, until);
      if (!chunk) return std::nullopt;
      if (size == 0) return message;
      message.body += chunk->substr(0, size);
    }
  }
  const std::string length = message.field("content-length");
  if (length.empty()) return message;
  const auto body = take(std::strtoul(length.c_str(), nullptr, 10), until);
  if (!body) return std::nullopt;
  message.body = *body;
  return message;
}

int Connection::Message::status() const {
  const std::size_t blank = first_line.find(' ');
  return blank == std::string::npos ? 0 : std::atoi(first_line.c_str() + blank + 1);
}

std::string Connection::Message::field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

// ---- Listener

Listener::Listener(const std::string& host, int port, Serve serve)
    : serve_(std::move(serve)), descriptor_(listenOn(host, port)) {
  if (descriptor_ < 0) throw CannotRun{"cannot listen on " + host + ":" + std::to_string(port)};
  thread_ = std::thread([this] {
    for (;;) {
      const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) return;
      const int yes = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      std::thread([serve = serve_, accepted] {
        Connection connection(accepted);
        serve(connection);
      }).detach();
    }
  });
}

Listener::~Listener() {
  ::shutdown(descriptor_, SHUT_RDWR);
  thread_.join();
  ::close(descriptor_);
}

// ---- Store

Store::Store(const std::string& host, int port)
    : listener_(std::make_unique<Listener>(
          host, port, [this](Connection& connection) { serve(connection); })) {}

void Store::put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  Item item;
  item.key = key;
  item.revision = revision_;
  const std::string revision = std::to_string(revision_);
  item.text = R"({"private_key":")" + key + R"(","value":")" + base64(value) + R"(","revision":)" +
              revision + R"(,"created_at":)" + revision + R"(,"lease_id":0})";
  items_[key] = item;
  history_.push_back(std::move(item));
  changed_.notify_all();
}

void Store::serve(Connection& connection) {
  for (;;) {
    const auto request = connection.read(Clock::now() + std::chrono::seconds(600));
    if (!request) return;
    const std::size_t begin = request->first_line.find(' ') + 1;
    const std::string target =
        request->first_line.substr(begin, request->first_line.find(' ', begin) - begin);
    const auto query = queryOf(target);
    const bool is_watch = target.rfind("/-/kv-watch", 0) == 0;
    const std::string body = is_watch ? watch(query) : range(query);
    if (!connection.send(answer("200 OK", "Content-Type: application/json\r\n", body))) return;
  }
}

std::string Store::range(const std::map<std::string, std::string>& query) {
  const std::lock_guard lock(mutex_);
  const std::string prefix = query.count("path_prefix") > 0 ? query.at("path_prefix") : "";
  const std::string after = query.count("after") > 0 ? query.at("after") : "";
  std::string items;
  for (const auto& [key, item] : items_) {
    if (key.rfind(prefix, 0) != 0 || key <= after) continue;
    items += (items.empty() ? "" : ",") + item.text;
  }
  return R"({"items":[)" + items + R"(],"has_more":false,"timestamp":)" +
         std::to_string(revision_) + "}";
}

std::string Store::watch(const std::map<std::string, std::string>& query) {
  const std::string prefix = query.count("path_prefix") > 0 ? query.at("path_prefix") : "";
  const std::uint64_t after = std::stoull(query.count("after") > 0 ? query.at("after") : "0");
  const auto until =
      Clock::now() + Milliseconds(query.count("wait_ms") > 0 ? std::stoi(query.at("wait_ms")) : 0);
  std::unique_lock lock(mutex_);
  for (;;) {
    std::string events;
    for (const Item& item : history_) {
      if (item.revision <= after || item.key.rfind(prefix, 0) != 0) continue;
      events += (events.empty() ? "" : ",") + item.text;
    }
    if (!events.empty() || Clock::now() >= until) {
      return R"({"events":[)" + events + R"(],"timestamp":)" + std::to_string(revision_) + "}";
    }
    changed_.wait_until(lock, until);
  }
}

// ---- Mesh

Mesh::Mesh(const Deployment& deployment, Record& record)
    : record_(record), deployment_(deployment), template_(readFile("deploy/node.toml.template")) {
  const std::string deploy = readFile("deploy/system.toml");
  const std::size_t run = deploy.find("run = \"");
  if (run == std::string::npos) throw CannotRun{"deploy/system.toml has no run"};
  const std::size_t begin = run + 7;
  std::istringstream words(deploy.substr(begin, deploy.find('"', begin) - begin));
  words >> program_;
  for (std::string word; words >> word;) {
    if (word.rfind("--bounds=", 0) == 0) bounds_word_ = word;
  }
  if (::access(program_.c_str(), X_OK) != 0) throw CannotRun{program_ + " is not built"};
  // Bounds of the small deployments; those that they do not have are empty.
  const std::map<std::string, std::string> bounds = {
      {"drain", "2000ms"},    {"config_apply", "2000ms"}, {"contact", "3000ms"},
      {"grace", "6s"},        {"budget_slack", "62"},     {"retry_budget_ratio", "0.2"},
      {"cold_overshoot", ""}, {"cold_slack", ""},         {"quota_overshoot", ""}};
  for (const auto& [name, value] : bounds)
    replaceAll(bounds_word_, "{{bounds." + name + "}}", value);

  const char* const base = std::getenv("TMPDIR");
  std::string folder = std::string(base != nullptr ? base : "/tmp") + "/review-3-XXXXXX";
  if (::mkdtemp(folder.data()) == nullptr) throw CannotRun{"no temporary folder"};
  folder_ = folder;

  std::random_device device;
  for (int tries = 0; tries < 50 && !store_; ++tries) {
    network_ = "127." + std::to_string(20 + device() % 200) + ".";
    const int probe = listenOn(network_ + "1.1", kCallerPort);
    if (probe < 0) continue;
    ::close(probe);
    try {
      store_ = std::make_unique<Store>(network_ + "0.1", kStorePort);
    } catch (const CannotRun&) {
    }
  }
  if (!store_) throw CannotRun{"no free loopback network"};
  for (int index = 0; index < deployment_.machines; ++index) {
    auto machine = std::make_unique<Machine>();
    machine->name = "sidecar-" + std::to_string(index + 1);
    machine->host = network_ + "1." + std::to_string(index + 1);
    machine->zone = "zone-" + std::to_string(index % deployment_.zones + 1);
    machine->service =
        deployment_.services[static_cast<std::size_t>(index) % deployment_.services.size()];
    machine->server_id = "i-" + std::to_string(1000 + index);
    Machine* const raw = machine.get();
    machine->server = std::make_unique<Listener>(
        machine->host, kServerPort,
        [this, raw](Connection& connection) { serve(*raw, connection); });
    machines_.push_back(std::move(machine));
  }
}

Mesh::~Mesh() {
  stopping_ = true;
  if (beats_.joinable()) beats_.join();
  for (const auto& machine : machines_) {
    if (machine->node > 0) ::kill(machine->node, SIGKILL);
  }
  for (const auto& machine : machines_) {
    if (machine->node > 0) ::waitpid(machine->node, nullptr, 0);
  }
  for (auto& machine : machines_) {
    std::remove((folder_ + "/" + machine->name + ".toml").c_str());
    std::remove((folder_ + "/" + machine->name + ".log").c_str());
    // Threads of connections may still use it; the process ends right after the case.
    machine.release();
  }
  ::rmdir(folder_.c_str());
  store_.release();
}

std::string Mesh::nextId() {
  char text[24];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(0x9c41000000000000ULL + ++last_id_));
  return text;
}

std::string Mesh::serviceResources() const {
  std::string resources;
  for (const std::string& service : deployment_.services) {
    resources += (resources.empty() ? "" : ",");
    resources += R"({"entry_type":"services","metadata":{"name":")" + service +
                 R"("},"spec":{"health_path":"/health","max_connections":130}})";
  }
  return resources;
}

void Mesh::configure(std::uint64_t version, const std::string& resources) {
  store_->put("op/config", R"({"version":"r)" + std::to_string(version) + R"(","resources":[)" +
                               resources + "]}");
  record_.line("config r" + std::to_string(version) + " acknowledged");
}

std::string Mesh::settingsOf(const Machine& machine) const {
  std::string zones;
  for (int zone = 1; zone <= deployment_.zones; ++zone) {
    zones += (zones.empty() ? "" : ",");
    zones += "\"zone-" + std::to_string(zone) + "\":\"region\"";
  }
  const std::map<std::string, std::string> gaps = {
      {"node_name", machine.name},
      {"zone", machine.zone},
      {"ip", machine.host},
      {"service", machine.service},
      {"listen.outbound", machine.host + ":" + std::to_string(kCallerPort)},
      {"listen.inbound", machine.host + ":" + std::to_string(kIngressPort)},
      {"listen.ready", machine.host + ":" + std::to_string(kReadyPort)},
      {"app_addr", machine.host + ":" + std::to_string(kServerPort)},
      {"ephemeral_ports.0", std::to_string(kFirstPeerPort)},
      {"zones|json", "{" + zones + "}"},
      {"limits.link_mbps", "1000.0"},
      {"platform.address", network_ + "0.1:" + std::to_string(kStorePort)}};
  std::string text = template_;
  for (const auto& [name, value] : gaps) replaceAll(text, "{{" + name + "}}", value);
  if (text.find("{{") != std::string::npos) throw CannotRun{"unknown gap in the template"};
  return text;
}

void Mesh::launch(Machine& machine) {
  const std::string file = folder_ + "/" + machine.name + ".toml";
  std::ofstream(file) << settingsOf(machine);
  const std::string log = folder_ + "/" + machine.name + ".log";
  const pid_t child = ::fork();
  if (child < 0) throw CannotRun{"cannot start a process"};
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::freopen(log.c_str(), "a", stdout);
    std::freopen(log.c_str(), "a", stderr);
    ::execl(program_.c_str(), program_.c_str(), "node", "--config", file.c_str(),
            bounds_word_.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  machine.node = child;
}

bool Mesh::isReady(const Machine& machine) const {
  Connection connection;
  if (!connection.open(machine.host, kReadyPort)) return false;
  connection.send("GET /-/ready HTTP/1.1\r\nHost: " + machine.host + "\r\n\r\n");
  const auto ready = connection.read(Clock::now() + Milliseconds(500));
  return ready && ready->status() == 200;
}

void Mesh::start() {
  int sequence = 0;
  const auto write = [this](int number) {
    for (const auto& machine : machines_) {
      store_->put("servers/" + machine->server_id,
                  R"({"service":")" + machine->service + R"(","address":")" + machine->host + ":" +
                      std::to_string(kServerPort) + R"(","zone":")" + machine->zone +
                      R"(","version":"v1","slots":18,"state":"ready","cold_remaining":"0ms",)" +
                      R"("sequence":)" + std::to_string(number) + "}");
    }
  };
  write(++sequence);
  for (const auto& machine : machines_) launch(*machine);
  // Each server writes its entry about every heartbeat.
  beats_ = std::thread([this, write, sequence]() mutable {
    while (!stopping_) {
      for (int part = 0; part < 15 && !stopping_; ++part) {
        std::this_thread::sleep_for(Milliseconds(100));
      }
      write(++sequence);
    }
  });
  const auto until = Clock::now() + std::chrono::seconds(20);
  for (const auto& machine : machines_) {
    while (!isReady(*machine)) {
      if (Clock::now() > until) throw CannotRun{machine->name + " does not become ready"};
      std::this_thread::sleep_for(Milliseconds(50));
    }
  }
  record_.line("all " + std::to_string(machines_.size()) + " nodes are ready");
}

bool Mesh::hasNodeEnded() {
  for (const auto& machine : machines_) {
    if (::waitpid(machine->node, nullptr, WNOHANG) != 0) {
      record_.line(machine->name + " has ended by itself");
      return true;
    }
  }
  return false;
}

const Machine* Mesh::serverOf(const std::string& request) {
  const std::lock_guard lock(runs_mutex_);
  const auto run = runs_.find(request);
  return run == runs_.end() ? nullptr : run->second;
}

/// A server: rejects requests for other instances, and signs its answers.
void Mesh::serve(Machine& machine, Connection& connection) {
  std::minstd_rand dice(std::random_device{}());
  while (const auto request = connection.read(Clock::now() + std::chrono::seconds(10))) {
    const std::string id = request->field("coursepond-request-id");
    const std::string carried = id.empty() ? "" : "Coursepond-Request-Id: " + id + "\r\n";
    if (request->first_line.rfind("GET /health ", 0) == 0) {
      const std::string own = "Coursepond-Instance-Id: " + machine.server_id + "\r\n";
      if (!connection.send(answer("200 OK", own, ""))) return;
      continue;
    }
    const std::string target = request->field("coursepond-target-instance");
    if (!target.empty() && target != machine.server_id) {
      const std::string fields = carried + "Coursepond-Instance-Id: " + machine.server_id + "\r\n";
      if (!connection.send(answer("421 Misdirected Request", fields, ""))) return;
      continue;
    }
    const std::string line = request->first_line.substr(0, request->first_line.rfind(' '));
    record_.line("run     " + id + " at " + machine.server_id + " (" + machine.service + ") " +
                 line + " body " + std::to_string(request->body.size()));
    {
      const std::lock_guard lock(runs_mutex_);
      runs_[id] = &machine;
    }
    std::this_thread::sleep_for(Milliseconds(machine.work_ms.load()));
    const std::string fields =
        carried + "Coursepond-Response-Signature: sig." + machine.server_id + "." + id + "\r\n";
    const std::string body = machine.service + "\n" + std::string(machine.answer_bytes, '.');
    const std::string whole = answer("200 OK", fields, body);
    if (dice() % 1000 < static_cast<unsigned>(machine.broken_per_thousand)) {
      record_.line("broken  " + id + ": " + machine.server_id + " breaks its answer off half way");
      connection.send(whole.substr(0, whole.size() / 2));
      std::this_thread::sleep_for(Milliseconds(50));
      return connection.reset();
    }
    if (!connection.send(whole)) return;
  }
}

int runCase(const std::function<int(Record&)>& play) {
  const char* const path = std::getenv("RECORD");
  try {
    Record record(path != nullptr ? path : "record.txt");
    try {
      const int code = play(record);
      record.line(code == kHeld ? "the rule held" : "THE RULE WAS BROKEN");
      std::printf("%s\n", code == kHeld ? "the rule held" : "the rule was broken");
      std::fflush(stdout);
      std::_Exit(code);  // Threads of connections may still use the record.
    } catch (const CannotRun& reason) {
      record.line("could not run: " + reason.what);
      std::printf("could not run: %s\n", reason.what.c_str());
      std::fflush(stdout);
      std::_Exit(kCouldNotRun);
    }
  } catch (const CannotRun& reason) {
    std::printf("could not run: %s\n", reason.what.c_str());
  }
  return kCouldNotRun;
}

}  // namespace review
