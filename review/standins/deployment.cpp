#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>

namespace review {
namespace {

namespace fs = std::filesystem;

/// Bounds of a small deployment, as in the site file magnolia-fonts.
const std::map<std::string, std::string> kBounds = {
    {"drain", "2000ms"}, {"config_apply", "2000ms"},    {"contact", "3000ms"},
    {"grace", "6s"},     {"retry_budget_ratio", "0.2"}, {"budget_slack", "62"}};
constexpr Milliseconds kCaseLimit(110'000);

std::string base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t index = 0; index < bytes.size(); index += 3) {
    std::uint32_t group = 0;
    const std::size_t size = std::min<std::size_t>(3, bytes.size() - index);
    for (std::size_t part = 0; part < 3; ++part) {
      group = group << 8U;
      if (part < size) group |= static_cast<unsigned char>(bytes[index + part]);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      text += digit <= size ? kDigits[(group >> (18 - 6 * digit)) & 63U] : '=';
    }
  }
  return text;
}

std::string inQuotes(const std::string& text) { return "\"" + text + "\""; }

std::string answerText(const std::string& status, const std::string& headers,
                       const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string jsonAnswer(const std::string& body) {
  return answerText("200 OK", "Content-Type: application/json\r\nStore-Era: 1\r\n", body);
}

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Replaces each gap {{...}} of `text` by its value. A gap without a value becomes empty.
std::string fill(std::string text, const std::map<std::string, std::string>& values) {
  for (std::size_t begin = text.find("{{"); begin != std::string::npos;
       begin = text.find("{{", begin)) {
    const std::size_t end = text.find("}}", begin);
    const auto value = values.find(text.substr(begin + 2, end - begin - 2));
    text.replace(begin, end + 2 - begin, value == values.end() ? "" : value->second);
  }
  return text;
}

}  // namespace

void Record::write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  std::ostringstream stamped;
  stamped.width(8);
  stamped << now().count();
  stamped << " ms  " << line;
  file_ << stamped.str() << std::endl;
  std::cout << stamped.str() << std::endl;
}

// ---- Listener

Listener::Listener(const Endpoint& at, Handler handler)
    : handler_(std::move(handler)), descriptor_(listenAt(at)) {
  if (descriptor_ >= 0) acceptor_ = std::thread([this] { acceptAll(); });
}

Listener::~Listener() { crash(); }

void Listener::crash() {
  if (is_over_.exchange(true)) return;
  if (acceptor_.joinable()) acceptor_.join();
  if (descriptor_ >= 0) close(descriptor_);
  {
    const std::lock_guard lock(mutex_);
    // Closing is left to the threads. With this option it resets the connections.
    for (const int descriptor : open_) {
      const linger reset{1, 0};
      setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown(descriptor, SHUT_RD);
    }
  }
  for (std::thread& thread : threads_) thread.join();
}

void Listener::acceptAll() {
  while (!is_over_) {
    const int descriptor = acceptFrom(descriptor_, Milliseconds(20));
    if (descriptor < 0) continue;
    const std::lock_guard lock(mutex_);
    open_.insert(descriptor);
    threads_.emplace_back([this, descriptor] { serve(descriptor); });
  }
}

void Listener::serve(int descriptor) {
  Connection connection(descriptor);
  handler_(connection);
  const std::lock_guard lock(mutex_);
  open_.erase(descriptor);
}

// ---- Store

Store::Store(const Endpoint& at, Record& record)
    : record_(record),
      listener_(std::make_unique<Listener>(at, [this](Connection& from) { serve(from); })) {}

void Store::put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  items_[key] = {value, ++revision_};
  events_.push_back({key, revision_, value, false});
  record_.write("store: " + key + " = " + value.substr(0, 160));
  changed_.notify_all();
}

void Store::remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (items_.erase(key) == 0) return;
  events_.push_back({key, ++revision_, "", true});
  record_.write("store: " + key + " is gone");
  changed_.notify_all();
}

void Store::serve(Connection& connection) {
  while (!listener_ || !listener_->isOver()) {
    const auto request = connection.read(Milliseconds(500));
    if (!request && connection.hasEnded()) return;
    if (!request) continue;
    const std::string target = request->word(1);
    const bool is_watch = target.starts_with("/-/kv-watch");
    const std::string body = is_watch ? watchAnswer(target) : rangeAnswer(target);
    if (!connection.send(jsonAnswer(body))) return;
  }
}

std::string Store::rangeAnswer(const std::string& target) {
  const std::string prefix = textIn(target, "path_prefix");
  const std::string after = textIn(target, "after");
  const std::lock_guard lock(mutex_);
  std::string items;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || key <= after) continue;
    const std::string revision = std::to_string(item.revision);
    items += (items.empty() ? "" : ",") + std::string("{\"private_key\":") + inQuotes(key) +
             ",\"value\":" + inQuotes(base64(item.value)) + ",\"revision\":" + revision +
             ",\"created_at\":" + revision + ",\"lease_id\":0}";
  }
  return "{\"items\":[" + items +
         "],\"has_more\":false,\"timestamp\":" + std::to_string(revision_) + "}";
}

std::string Store::watchAnswer(const std::string& target) {
  const std::string prefix = textIn(target, "path_prefix");
  const auto after = static_cast<std::uint64_t>(numberIn(target, "after", 0));
  const auto until =
      std::chrono::steady_clock::now() + Milliseconds(numberIn(target, "wait_ms", 0));
  std::unique_lock lock(mutex_);
  std::string events;
  const auto collect = [&] {
    events.clear();
    for (const Event& event : events_) {
      if (event.revision <= after || !event.key.starts_with(prefix)) continue;
      events += (events.empty() ? "" : ",") + std::string("{\"private_key\":") +
                inQuotes(event.key) + ",\"revision\":" + std::to_string(event.revision) +
                (event.is_gone ? std::string(",\"gone\":true}")
                               : ",\"value\":" + inQuotes(base64(event.value)) + "}");
    }
    return !events.empty() || (listener_ && listener_->isOver());
  };
  while (!collect() && std::chrono::steady_clock::now() < until) {
    changed_.wait_for(lock, Milliseconds(50));
  }
  return "{\"events\":[" + events + "],\"timestamp\":" + std::to_string(revision_) + "}";
}

// ---- Servers

std::size_t Runs::begin(Run run) {
  const std::lock_guard lock(mutex_);
  runs_.push_back(std::move(run));
  return runs_.size() - 1;
}

void Runs::breakOff(std::size_t index) {
  const std::lock_guard lock(mutex_);
  runs_.at(index).was_broken_off = true;
}

std::vector<Run> Runs::all() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::vector<Run> Runs::of(const std::string& request) const {
  std::vector<Run> found = all();
  std::erase_if(found, [&](const Run& run) { return run.request != request; });
  return found;
}

Server::Server(const Endpoint& at, std::string service, std::string instance, std::string zone,
               Store& store, Runs& runs, Record& record)
    : at_(at),
      service_(std::move(service)),
      instance_(std::move(instance)),
      zone_(std::move(zone)),
      store_(store),
      runs_(runs),
      record_(record) {
  listener_ = std::make_unique<Listener>(at, [this](Connection& from) { serve(from); });
  record_.write("server " + instance_ + " of " + service_ + " starts at " + at.text());
}

Server::~Server() { listener_->crash(); }

void Server::writeEntry(const std::string& state) {
  store_.put("servers/" + instance_,
             "{\"service\":" + inQuotes(service_) + ",\"address\":" + inQuotes(at_.text()) +
                 ",\"zone\":" + inQuotes(zone_) + ",\"version\":\"v1\",\"slots\":18,\"state\":" +
                 inQuotes(state) + ",\"cold_remaining\":\"0ms\",\"sequence\":4}");
}

void Server::crash() {
  listener_->crash();
  record_.write("server " + instance_ + " of " + service_ + " ends");
}

void Server::removeEntry() { store_.remove("servers/" + instance_); }

void Server::serve(Connection& connection) {
  while (!listener_ || !listener_->isOver()) {
    const auto request = connection.read(Milliseconds(100));
    if (!request && connection.hasEnded()) return;
    if (request) run(connection, *request);
  }
}

void Server::run(Connection& connection, const Message& request) {
  const std::string id = request.header("Coursepond-Request-Id");
  const std::string target = request.word(1);
  const std::string named = request.header("Coursepond-Target-Instance");
  const std::string own = "Coursepond-Instance-Id: " + instance_ + "\r\n";
  const std::string echo = "Coursepond-Request-Id: " + id + "\r\n";
  if (target == "/health") {
    connection.send(answerText("200 OK", own, ""));
    return;
  }
  if (!named.empty() && named != instance_) {
    record_.write("server " + instance_ + " of " + service_ + " answers 421 to " + id +
                  ", which names " + named);
    connection.send(answerText("421 Misdirected Request", echo + own, ""));
    return;
  }
  const std::size_t index = runs_.begin({id, service_, instance_, request.word(0), target, false});
  record_.write("server " + instance_ + " of " + service_ + " runs " + id + " " + request.word(0) +
                " " + target + " (named: " + named + ")");
  if (connection.endsWithin(Milliseconds(numberIn(target, "work_ms", 20)))) {
    runs_.breakOff(index);
    record_.write("server " + instance_ + ": the connection of " + id + " ended during its work");
    return;
  }
  connection.send(answerText("200 OK",
                             echo + "Coursepond-Response-Signature: s." + id + "\r\n" +
                                 "Coursepond-Server-Load: 1,0,18\r\n",
                             "done by " + service_ + " " + instance_));
}

// ---- Processes

Process::Process(const std::vector<std::string>& command, const std::string& log) : id_(fork()) {
  if (id_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  std::vector<char*> words;
  for (const std::string& word : command) words.push_back(const_cast<char*>(word.c_str()));
  words.push_back(nullptr);
  execv(words[0], words.data());
  _exit(127);
}

Process::~Process() {
  if (endsWithin(Milliseconds(0))) return;
  ::kill(id_, SIGKILL);
  waitpid(id_, nullptr, 0);
}

void Process::signal(int number) const { ::kill(id_, number); }

bool Process::endsWithin(Milliseconds timeout) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  while (!has_ended_) {
    has_ended_ = waitpid(id_, nullptr, WNOHANG) == id_;
    if (has_ended_ || std::chrono::steady_clock::now() >= until) break;
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return has_ended_;
}

// ---- Deployment

Deployment::Deployment(std::string root, const std::string& record,
                       const std::vector<std::string>& services)
    : root_(std::move(root)), record_(record) {
  std::string folder = (fs::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) return;
  folder_ = folder;
  if (!fs::exists(root_ + "/target/bin/coursepond-platform") || !findPorts(services)) return;
  store_ = std::make_unique<Store>(store_at_, record_);
  is_usable_ = store_->isListening();
}

Deployment::~Deployment() {
  machines_.clear();
  store_.reset();
  const bool keeps = std::getenv("KEEP") != nullptr;
  if (!folder_.empty() && !keeps) fs::remove_all(folder_);
  if (keeps) std::cout << "kept: " << folder_ << std::endl;
}

/// Chooses a loopback network and ports that are free on all machines.
bool Deployment::findPorts(const std::vector<std::string>& services) {
  std::random_device random;
  for (int tries = 0; tries < 50; ++tries) {
    const std::string network = "127." + std::to_string(20 + random() % 200) + "." +
                                std::to_string(1 + random() % 250) + ".";
    const auto port = static_cast<std::uint16_t>(10'000 + random() % 15'000);
    store_at_ = {network + "200", static_cast<std::uint16_t>(port + 9)};
    machines_.clear();
    for (std::size_t index = 0; index < services.size(); ++index) {
      Machine machine;
      machine.host = network + std::to_string(index + 1);
      machine.zone = zones_[index % zones_.size()];
      machine.name = "sidecar-" + machine.zone + "-" + std::to_string(index + 1);
      machine.service = services[index];
      machine.inbound = {machine.host, port};
      machine.app = {machine.host, static_cast<std::uint16_t>(port + 1)};
      machine.ready = {machine.host, static_cast<std::uint16_t>(port + 2)};
      machine.outbound = {machine.host, static_cast<std::uint16_t>(port + 4)};
      machine.peer_port = static_cast<std::uint16_t>(port + 10);
      machines_.push_back(std::move(machine));
    }
    std::vector<Endpoint> needed{store_at_};
    for (const Machine& machine : machines_) {
      needed.insert(needed.end(), {machine.inbound, machine.app, machine.ready, machine.outbound,
                                   Endpoint{machine.host, machine.peer_port}});
    }
    const bool are_free = std::all_of(needed.begin(), needed.end(), [](const Endpoint& endpoint) {
      const int listener = listenAt(endpoint);
      if (listener >= 0) close(listener);
      return listener >= 0;
    });
    if (are_free) return true;
  }
  return false;
}

/// Fills the template of the deploy file, as the platform does.
std::string Deployment::settingsOf(const Machine& machine) const {
  std::string zones;
  for (const std::string& zone : zones_) {
    zones += (zones.empty() ? "" : ",") + inQuotes(zone) + ":\"dixie-east\"";
  }
  return fill(readFile(root_ + "/deploy/node.toml.template"),
              {{"node_name", machine.name},
               {"zone", machine.zone},
               {"ip", machine.host},
               {"listen.outbound", machine.outbound.text()},
               {"listen.inbound", machine.inbound.text()},
               {"listen.ready", machine.ready.text()},
               {"ephemeral_ports.0", std::to_string(machine.peer_port)},
               {"app_addr", machine.app.text()},
               {"service", machine.service},
               {"zones|json", "{" + zones + "}"},
               {"limits.link_mbps", "1000.0"},
               {"platform.address", store_at_.text()}});
}

/// Returns the command of the role in deploy/system.toml, for a settings file.
std::vector<std::string> Deployment::commandOf(const std::string& settings) const {
  const std::string text = readFile(root_ + "/deploy/system.toml");
  const std::string mark = "run = \"";
  const std::size_t begin = text.find(mark) + mark.size();
  std::map<std::string, std::string> values;
  for (const auto& [name, value] : kBounds) values["bounds." + name] = value;
  std::istringstream line(fill(text.substr(begin, text.find('"', begin) - begin), values));
  std::vector<std::string> words;
  for (std::string word; line >> word;) {
    words.push_back(word == "/etc/coursepond/node.json" ? settings : word);
  }
  words.front() = root_ + "/" + words.front();
  return words;
}

std::unique_ptr<Server> Deployment::startServer(std::size_t index, const std::string& service,
                                                const std::string& instance) {
  const Machine& at = machines_.at(index);
  return std::make_unique<Server>(at.app, service, instance, at.zone, *store_, runs_, record_);
}

void Deployment::startNode(std::size_t index) {
  Machine& machine = machines_.at(index);
  const std::string settings = folder_ + "/" + machine.name + ".toml";
  std::ofstream(settings) << settingsOf(machine);
  machine.node =
      std::make_unique<Process>(commandOf(settings), folder_ + "/" + machine.name + ".log");
  record_.write("node " + machine.name + " of " + machine.service + " starts");
}

bool Deployment::becomesReady(std::size_t index, Milliseconds timeout) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  const std::string question = "GET /-/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
  while (std::chrono::steady_clock::now() < until) {
    const Outcome outcome = ask(machines_.at(index).ready, question, Milliseconds(500));
    if (outcome.answer && outcome.answer->status() == 200) return true;
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return false;
}

// ---- What the operator and clients write

std::string configuration(int version, const std::vector<Route>& routes,
                          const std::vector<std::string>& services) {
  std::string resources;
  const auto add = [&](const std::string& kind, const std::string& name, const std::string& spec) {
    const std::string metadata = name.empty() ? "{}" : "{\"name\":" + inQuotes(name) + "}";
    resources += (resources.empty() ? "" : ",") + std::string("{\"entry_type\":") + inQuotes(kind) +
                 ",\"metadata\":" + metadata + ",\"spec\":{" + spec + "}}";
  };
  for (const Route& route : routes) {
    add("routes", route.name,
        "\"host\":" + inQuotes(kHost) + ",\"path_prefix\":" + inQuotes(route.path_prefix) +
            ",\"type\":" + inQuotes(route.type) +
            ",\"timeout\":\"5000ms\",\"target_latency\":\"800ms\",\"priority\":1,\"service\":" +
            inQuotes(route.service) + ",\"max_attempts\":2");
  }
  for (const std::string& service : services) {
    add("services", service,
        "\"health_path\":\"/health\",\"max_connections\":130,\"protocol\":\"h1\",\"tls\":false");
  }
  add("limits", "",
      "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
      "\"idle_timeout\":\"15000ms\"");
  return "{\"version\":\"r" + std::to_string(version) + "\",\"resources\":[" + resources + "]}";
}

std::string request(const std::string& method, const std::string& target, const std::string& id,
                    int deadline_ms, const std::string& body) {
  const std::string length =
      method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return method + " " + target + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nCoursepond-Request-Id: " + id +
         "\r\nCoursepond-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + length + "\r\n" +
         body;
}

bool playsTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int runCase(int argc, char** argv, const std::vector<std::string>& services,
            Verdict (*play)(Deployment&)) {
  if (argc != 3) return static_cast<int>(Verdict::kCouldNotRun);
  std::signal(SIGPIPE, SIG_IGN);
  // The nodes end with this process; see PR_SET_PDEATHSIG.
  std::thread([] {
    std::this_thread::sleep_for(kCaseLimit);
    _exit(static_cast<int>(Verdict::kCouldNotRun));
  }).detach();
  Verdict verdict = Verdict::kCouldNotRun;
  {
    Deployment deployment(argv[1], argv[2], services);
    if (deployment.isUsable()) verdict = play(deployment);
    const char* const word = verdict == Verdict::kHeld     ? "the rule held"
                             : verdict == Verdict::kBroken ? "THE RULE WAS BROKEN"
                                                           : "the case could not run";
    deployment.record().write(word);
  }
  return static_cast<int>(verdict);
}

}  // namespace review
