#include "machine.h"

#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "suspend_clock.h"

namespace coursepond::soak {
namespace {

using process_tests::ProcessHandle;

constexpr std::uint16_t kCallerPort = 8304;
constexpr std::uint16_t kIngressPort = 8300;
constexpr std::uint16_t kServerPort = 8301;
constexpr std::uint16_t kAdminPort = 8302;
constexpr std::uint16_t kStorePort = 8309;
constexpr std::uint16_t kPeerPort = 7620;
/// A server that a request crashed is back after this.
constexpr Duration kCrashAway = std::chrono::milliseconds(2500);
/// A log limit that changes with each change of the settings.
constexpr std::uint32_t kLogLines = 2000;

/// Where the node itself listens; nobody but the soak's forwarders and clients connects here.
std::string ownHost(const MachineSettings& machine) {
  return "127." + std::to_string(machine.network) + ".1." + std::to_string(machine.number + 1);
}
/// The machine as the others know it: connections to it go over its link.
std::string linkHost(const MachineSettings& machine) {
  return "127." + std::to_string(machine.network) + ".2." + std::to_string(machine.number + 1);
}

std::string milliseconds(Duration time) { return std::to_string(toMilliseconds(time)) + "ms"; }

}  // namespace

bool isNetworkFree(std::uint32_t network) {
  using Tcp = boost::asio::ip::tcp;
  MachineSettings first;
  first.network = network;
  const auto ip = boost::asio::ip::make_address(ownHost(first));
  boost::asio::io_context context;
  Tcp::acceptor acceptor(context, Tcp::v4());
  boost::system::error_code error;
  acceptor.bind(Tcp::endpoint(ip, kStorePort), error);
  return !error;
}

Machine::Machine(Surroundings surroundings, MachineSettings settings)
    : at_(std::move(surroundings)), settings_(std::move(settings)), link_(at_.context) {
  const std::string own = ownHost(settings_);
  const std::string link = linkHost(settings_);
  link_.setRate(settings_.link_rate);
  link_.forward({own, kStorePort}, at_.store.address(), Opener::kMachine);
  link_.forward({link, kIngressPort}, {own, kIngressPort}, Opener::kOthers);
  link_.forward({link, kPeerPort}, {own, kPeerPort}, Opener::kOthers);
  link_.setOpen(false);
}

Machine::~Machine() = default;

Address Machine::callers() const { return {ownHost(settings_), kCallerPort}; }

void Machine::log(const std::string& what) const { at_.log(settings_.name + " " + what); }

/// As deploy/node.toml.template, filled for this machine.
void Machine::writeSettings() {
  const std::string own = ownHost(settings_);
  const std::string link = linkHost(settings_);
  std::ofstream file(settings_.folder + "/" + settings_.name + ".toml");
  file << "[node]\nid = \"" << settings_.name << "\"\nzone = \"" << settings_.zone << "\"\n"
       << "caller_listen = \"" << own << ":" << kCallerPort << "\"\n"
       << "peer_listen = \"" << own << ":" << kPeerPort << "\"\n"
       << "admin_listen = \"" << own << ":" << kAdminPort << "\"\n\n"
       << "[two_hop]\ningress_listen = \"" << own << ":" << kIngressPort << "\"\n"
       << "server = \"" << link << ":" << kServerPort << "\"\n"
       << "service = \"" << settings_.service << "\"\n\n"
       << "[platform]\naddress = \"" << own << ":" << kStorePort << "\"\n\n"
       << "[headers]\nrequest_id = \"Coursepond-Request-Id\"\n"
       << "deadline = \"Coursepond-Deadline-Ms\"\nload = \"Coursepond-Server-Load\"\n"
       << "not_run = \"Coursepond-Not-Executed\"\n"
       << "signature = \"Coursepond-Response-Signature\"\n"
       << "target_instance = \"Coursepond-Target-Instance\"\n"
       << "caller_service = \"Coursepond-Caller-Service\"\n"
       << "instance = \"Coursepond-Instance-Id\"\n\n"
       << "[admin]\ntoken = \"not-used-on-this-platform\"\nreadiness_path = \"/-/ready\"\n\n"
       << "[log]\nlines_per_second = " << kLogLines + settings_written_ << "\n\n"
       << "[mesh]\nacceptance = \"automatic\"\n";
  ++settings_written_;
  if (!file.flush()) throw std::runtime_error("the settings of " + settings_.name + " not written");
}

// ---- The process

void Machine::startNode() {
  if (process_) return;
  writeSettings();
  const Bounds& bounds = settings_.bounds;
  const std::string flag = "--bounds=drain=" + milliseconds(bounds.drain) +
                           ",config_apply=" + milliseconds(bounds.config_apply) +
                           ",contact=" + milliseconds(bounds.contact) +
                           ",grace=" + milliseconds(bounds.grace);
  const std::string path = settings_.folder + "/" + settings_.name;
  process_ = std::make_unique<ProcessHandle>(
      "coursepond-platform", std::vector<std::string>{"node", "--config", path + ".toml", flag},
      path + ".log");
  ++life_;
  freezes_ = 0;
  is_expected_to_end_ = false;
  terminated_at_.reset();
  link_.setOpen(true);
  if (away_trouble_) at_.troubles.end(*std::exchange(away_trouble_, std::nullopt), now());
  at_.troubles.end(at_.troubles.begin(name(), TroubleKind::kPlannedStop, now()), now());
  log("process starts, life " + std::to_string(life_));
}

void Machine::terminateNode(Duration away) {
  if (!process_ || is_expected_to_end_) return;
  is_expected_to_end_ = true;
  away_ = away;
  terminated_at_ = now();
  away_trouble_ = at_.troubles.begin(name(), TroubleKind::kPlannedStop, now());
  process_->signal(SIGTERM);
  log("SIGTERM");
  at_.environment.schedule(settings_.bounds.grace, [this, life = life_] {
    if (!process_ || life_ != life) return;
    const std::string story =
        name() + " still ran " + milliseconds(settings_.bounds.grace) + " after SIGTERM";
    if (at_.troubles.isCalmButForStops(name(), *terminated_at_, now())) {
      at_.on_violation("stop_overran", story);
    }
    log("SIGKILL after the grace");
    process_->signal(SIGKILL);
  });
}

void Machine::killNode(Duration away) {
  if (!process_) return;
  const bool is_stopping = std::exchange(is_expected_to_end_, true);
  if (!is_stopping) away_ = away;
  // From here on a stop that was planned is none any more.
  const std::size_t trouble = at_.troubles.begin(name(), TroubleKind::kUnplanned, now());
  if (away_trouble_) at_.troubles.end(*away_trouble_, now());
  away_trouble_ = trouble;
  process_->signal(SIGKILL);
  log("SIGKILL");
}

void Machine::freezeNode(Duration length) { standStill(length, false); }

void Machine::suspendNode(Duration length) { standStill(length, true); }

void Machine::standStill(Duration length, bool is_suspension) {
  if (!process_) return;
  const std::size_t trouble = at_.troubles.begin(name(), TroubleKind::kUnplanned, now());
  ++freezes_;
  process_->signal(SIGSTOP);
  log((is_suspension ? "suspended for " : "SIGSTOP for ") + milliseconds(length));
  endTroubleLater(trouble, length, [this, life = life_, length, is_suspension] {
    if (!process_ || life_ != life) return;
    // Before it goes on, so that it sees no moment of the other time.
    const auto lost_ms = static_cast<int>(toMilliseconds(length));
    if (is_suspension) process_->signal(clockSignal(), lost_ms);
    if (--freezes_ > 0) return;
    process_->signal(SIGCONT);
    log("SIGCONT");
  });
}

void Machine::hangUpNode() {
  if (!process_) return;
  writeSettings();
  process_->signal(SIGHUP);
  log("SIGHUP");
}

void Machine::pollNode() {
  if (!process_) return;
  const std::optional<int> status = process_->waitForExit(Duration(0));
  if (status) onNodeEnded(*status);
}

void Machine::onNodeEnded(int status) {
  process_.reset();
  link_.setOpen(false);
  log("process ended with " + std::to_string(status));
  if (!is_expected_to_end_) {
    at_.on_violation("ended_by_itself", name() + " ended by itself with " + std::to_string(status));
    away_trouble_ = at_.troubles.begin(name(), TroubleKind::kUnplanned, now());
    away_ = std::chrono::seconds(1);
  }
  at_.environment.schedule(away_, [this] { startNode(); });
}

// ---- The link

void Machine::endTroubleLater(std::size_t trouble, Duration length, std::function<void()> undo) {
  at_.environment.schedule(length, [this, trouble, undo = std::move(undo)] {
    undo();
    at_.troubles.end(trouble, now());
  });
}

void Machine::delayLink(Duration one_way, Duration length) {
  const std::size_t trouble = at_.troubles.begin(name(), TroubleKind::kUnplanned, now());
  link_.setDelay(one_way);
  log("link delayed by " + milliseconds(one_way) + " for " + milliseconds(length));
  endTroubleLater(trouble, length, [this] {
    link_.setDelay(Duration(0));
    log("link without delay");
  });
}

void Machine::narrowLink(std::uint64_t bytes_per_second, Duration length) {
  const std::size_t trouble = at_.troubles.begin(name(), TroubleKind::kUnplanned, now());
  link_.setRate(bytes_per_second);
  log("link narrowed to " + std::to_string(bytes_per_second) + " B/s for " + milliseconds(length));
  endTroubleLater(trouble, length, [this] {
    link_.setRate(settings_.link_rate);
    log("link as wide as usual");
  });
}

void Machine::silenceLink(Direction direction, Duration length) {
  const std::size_t trouble = at_.troubles.begin(name(), TroubleKind::kUnplanned, now());
  const std::string way = direction == Direction::kIn ? "inwards" : "outwards";
  link_.setSilent(direction, true);
  log("link silent " + way + " for " + milliseconds(length));
  endTroubleLater(trouble, length, [this, direction, way] {
    link_.setSilent(direction, false);
    log("link no longer silent " + way);
  });
}

void Machine::resetLink() {
  at_.troubles.end(at_.troubles.begin(name(), TroubleKind::kUnplanned, now()), now());
  link_.reset();
  log("link reset");
}

// ---- The server

std::string Machine::entryText(const std::string& state) const {
  return nlohmann::json{{"service", settings_.service},
                        {"zone", settings_.zone},
                        {"slots", BackEnd::kSlots},
                        {"address", linkHost(settings_) + ":" + std::to_string(kServerPort)},
                        {"state", state},
                        {"version", "1"},
                        {"cold_remaining", "0ms"},
                        {"sequence", beats_}}
      .dump();
}

void Machine::startServer() {
  if (server_) return;
  is_server_leaving_ = false;
  const std::string instance = "i-" + settings_.name + "-" + std::to_string(++server_starts_);
  server_ = std::make_unique<BackEnd>(
      at_.context, at_.environment, at_.ledger, name(), instance,
      Address{linkHost(settings_), kServerPort},
      [this, instance](const std::string& id) { at_.on_arrival(name(), instance, id); },
      [this, instance](std::uint64_t crasher) { onServerCrashed(instance, crasher); });
  state_ = "ready";
  at_.store.put(entryKey(instance), entryText(state_));
  log("server " + instance + " ready");
}

void Machine::drainServer(bool says_so, Duration length, Duration away) {
  if (!server_ || std::exchange(is_server_leaving_, true)) return;
  const std::string instance = server_->instance();
  if (says_so) {
    state_ = "draining";
    at_.store.put(entryKey(instance), entryText(state_));
  } else {
    state_.clear();
    at_.store.remove(entryKey(instance));
  }
  leaving_since_.try_emplace(instance, now());
  log("server " + instance + (says_so ? " draining" : " gone without a word") + ", serves for " +
      milliseconds(length));
  at_.environment.schedule(length, [this, instance, away] {
    if (server_ && server_->instance() == instance) endServer(instance, away);
  });
}

void Machine::endServer(const std::string& instance, Duration away) {
  const std::size_t trouble = at_.troubles.begin(serverPlace(), TroubleKind::kUnplanned, now());
  server_.reset();
  state_.clear();
  if (at_.store.holds(entryKey(instance))) at_.store.remove(entryKey(instance));
  log("server " + instance + " ended");
  restartServerLater(away, trouble);
}

/// From inside the server, which ends in a later event.
void Machine::onServerCrashed(const std::string& instance, std::uint64_t crasher) {
  at_.environment.schedule(Duration(0), [this, instance, crasher] {
    if (!server_ || server_->instance() != instance) return;
    log("server " + instance + " ends under crashing request " + std::to_string(crasher));
    at_.on_crash(crasher);
    crashServer(kCrashAway);
  });
}

void Machine::crashServer(Duration away) {
  if (!server_) return;
  const std::size_t trouble = at_.troubles.begin(serverPlace(), TroubleKind::kUnplanned, now());
  const std::string instance = server_->instance();
  server_.reset();
  state_.clear();
  log("server " + instance + " crashed");
  at_.environment.schedule(kEntryLife, [this, instance] {
    if (at_.store.holds(entryKey(instance))) at_.store.remove(entryKey(instance));
  });
  restartServerLater(away, trouble);
}

void Machine::restartServerLater(Duration away, std::size_t trouble) {
  endTroubleLater(trouble, away, [this] { startServer(); });
}

void Machine::slowServer(double factor, Duration length) {
  if (!server_) return;
  const std::size_t trouble = at_.troubles.begin(serverPlace(), TroubleKind::kUnplanned, now());
  server_->setSlowness(factor);
  log("server slow for " + milliseconds(length));
  endTroubleLater(trouble, length, [this] {
    if (server_) server_->setSlowness(1.0);
  });
}

void Machine::lapseEntry(Duration length) {
  if (!server_ || state_ != "ready") return;
  const std::string instance = server_->instance();
  state_.clear();
  at_.store.remove(entryKey(instance));
  leaving_since_.try_emplace(instance, now());
  log("entry of " + instance + " lapsed for " + milliseconds(length));
  at_.environment.schedule(length, [this, instance] {
    const bool is_there = server_ && server_->instance() == instance && !is_server_leaving_;
    if (!is_there) return;
    state_ = "ready";
    leaving_since_.erase(instance);
    at_.store.put(entryKey(instance), entryText(state_));
    log("entry of " + instance + " back");
  });
}

void Machine::heartbeat() {
  if (!server_ || state_.empty()) return;
  ++beats_;
  const std::string key = entryKey(server_->instance());
  const std::string* const held = at_.store.find(key);
  const bool is_same = held != nullptr && nlohmann::json::parse(*held).at("state") == state_;
  if (is_same) return at_.store.touch(key, entryText(state_));
  at_.store.put(key, entryText(state_));
}

bool Machine::writes(const std::string& key) const {
  return server_ && !state_.empty() && key == entryKey(server_->instance());
}

std::optional<TimePoint> Machine::leavingSince(const std::string& instance) const {
  const auto found = leaving_since_.find(instance);
  if (found == leaving_since_.end()) return std::nullopt;
  return found->second;
}

}  // namespace coursepond::soak
