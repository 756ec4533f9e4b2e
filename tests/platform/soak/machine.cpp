#include "machine.h"

#include <signal.h>

#include <algorithm>
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
/// Time after which the address of a server that ended may go to another service.
constexpr Duration kAddressKept = std::chrono::milliseconds(2050);
/// Time until a server restarts after a crashing request.
constexpr Duration kCrashDowntime = std::chrono::milliseconds(2500);
/// Lowest value of the log rate limit. It changes with each write of the settings file.
constexpr std::uint32_t kLogLines = 2000;

/// Address on which the node listens. Only the forwarders and clients of the soak connect to it.
std::string ownHost(const MachineSettings& machine) {
  return "127." + std::to_string(machine.network) + ".1." + std::to_string(machine.number + 1);
}
/// Address under which other machines reach this machine. Connections to it go through its link.
std::string linkHost(const MachineSettings& machine) {
  return "127." + std::to_string(machine.network) + ".2." + std::to_string(machine.number + 1);
}

/// Returns the settings that tell the node the rate of its link.
std::string linkSection(const MachineSettings& machine) {
  if (machine.link_rate == 0) return "";
  constexpr double kBytesPerMegabit = 1e6 / 8;
  const double megabits = static_cast<double>(machine.link_rate) / kBytesPerMegabit;
  return "[link]\nmegabits_per_second = " + std::to_string(megabits) + "\n\n";
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

Machine::Machine(SoakContext soak, MachineSettings settings)
    : soak_(std::move(soak)),
      settings_(std::move(settings)),
      link_(soak_.context),
      server_service_(settings_.service) {
  const std::string own = ownHost(settings_);
  const std::string link = linkHost(settings_);
  link_.setRate(settings_.link_rate);
  link_.forward({own, kStorePort}, soak_.store.address(), Opener::kMachine);
  link_.forward({link, kIngressPort}, {own, kIngressPort}, Opener::kOthers);
  link_.forward({link, kPeerPort}, {own, kPeerPort}, Opener::kOthers);
  link_.setOpen(false);
}

Machine::~Machine() = default;

Address Machine::callerAddress() const { return {ownHost(settings_), kCallerPort}; }

void Machine::log(const std::string& what) const { soak_.log(settings_.name + " " + what); }

/// Writes the settings file: deploy/node.toml.template with the values of this machine.
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
       << linkSection(settings_) << "[platform]\naddress = \"" << own << ":" << kStorePort
       << "\"\n\n"
       << "[headers]\nrequest_id = \"Coursepond-Request-Id\"\n"
       << "deadline = \"Coursepond-Deadline-Ms\"\nload = \"Coursepond-Server-Load\"\n"
       << "draining = \"Server-Leaving\"\nserver_limit = \"Server-Limit\"\n"
       << "not_run = \"Coursepond-Not-Executed\"\n"
       << "signature = \"Coursepond-Response-Signature\"\n"
       << "target_instance = \"Coursepond-Target-Instance\"\n"
       << "caller_service = \"Coursepond-Caller-Service\"\n"
       << "instance = \"Coursepond-Instance-Id\"\n\n"
       << "[admin]\ntoken = \"not-used-on-this-platform\"\nreadiness_path = \"/-/ready\"\n\n"
       << "[log]\nlines_per_second = " << kLogLines + settings_written_ << "\n\n"
       << "[mesh]\nacceptance = \"automatic\"\n";
  ++settings_written_;
  if (!file.flush()) throw std::runtime_error("cannot write the settings of " + settings_.name);
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
  ++incarnation_;
  active_pauses_ = 0;
  is_expected_to_end_ = false;
  terminated_at_.reset();
  link_.setOpen(true);
  soak_.on_node_disturbed(name());
  if (downtime_fault_) soak_.faults.end(*std::exchange(downtime_fault_, std::nullopt), now());
  soak_.faults.end(soak_.faults.begin(name(), FaultKind::kPlannedStop, now()), now());
  log("process started, incarnation " + std::to_string(incarnation_));
}

void Machine::terminateNode(Duration downtime) {
  if (!process_ || is_expected_to_end_) return;
  is_expected_to_end_ = true;
  downtime_ = downtime;
  terminated_at_ = now();
  downtime_fault_ = soak_.faults.begin(name(), FaultKind::kPlannedStop, now());
  process_->signal(SIGTERM);
  log("SIGTERM");
  soak_.environment.schedule(settings_.bounds.grace, [this, incarnation = incarnation_] {
    if (!process_ || incarnation_ != incarnation) return;
    const std::string description =
        name() + " was still running " + milliseconds(settings_.bounds.grace) + " after SIGTERM";
    if (soak_.faults.isFaultFreeExceptStops(name(), *terminated_at_, now())) {
      soak_.on_violation("stop_overran", description);
    }
    log("SIGKILL after the grace period");
    process_->signal(SIGKILL);
  });
}

void Machine::terminateNodeAgain() {
  if (!process_ || !terminated_at_) return;
  process_->signal(SIGTERM);
  log("further SIGTERM");
}

void Machine::killNode(Duration downtime) {
  if (!process_) return;
  const bool is_stopping = std::exchange(is_expected_to_end_, true);
  if (!is_stopping) downtime_ = downtime;
  // A planned stop becomes an unplanned fault from here on.
  const std::size_t fault = soak_.faults.begin(name(), FaultKind::kUnplanned, now());
  if (downtime_fault_) soak_.faults.end(*downtime_fault_, now());
  downtime_fault_ = fault;
  process_->signal(SIGKILL);
  log("SIGKILL");
}

bool Machine::readsStore() const {
  if (!process_) return false;
  std::ifstream log(settings_.folder + "/" + settings_.name + ".log");
  bool reads = true;  // A node has this role until it logs another.
  for (std::string line; std::getline(log, line);) {
    if (line.find("event=started") != std::string::npos) reads = true;
    if (line.find("event=source_role") != std::string::npos)
      reads = line.find("role=reader") != std::string::npos;
  }
  return reads;
}

void Machine::freezeNode(Duration length) { pauseProcess(length, false); }

void Machine::suspendNode(Duration length) { pauseProcess(length, true); }

void Machine::pauseProcess(Duration length, bool is_suspension) {
  if (!process_) return;
  const std::size_t fault = soak_.faults.begin(name(), FaultKind::kUnplanned, now());
  ++active_pauses_;
  soak_.on_node_disturbed(name());
  process_->signal(SIGSTOP);
  log((is_suspension ? "suspended for " : "SIGSTOP for ") + milliseconds(length));
  scheduleFaultEnd(fault, length, [this, incarnation = incarnation_, length, is_suspension] {
    if (!process_ || incarnation_ != incarnation) return;
    // Sent before SIGCONT, so that the process never reads a clock that includes the suspension.
    const auto lost_ms = static_cast<int>(toMilliseconds(length));
    if (is_suspension) process_->signal(clockSignal(), lost_ms);
    if (--active_pauses_ > 0) return;
    soak_.on_node_disturbed(name());
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
    soak_.on_violation("ended_by_itself",
                       name() + " ended by itself with " + std::to_string(status));
    downtime_fault_ = soak_.faults.begin(name(), FaultKind::kUnplanned, now());
    downtime_ = std::chrono::seconds(1);
  }
  soak_.environment.schedule(downtime_, [this] { startNode(); });
}

// ---- The link

void Machine::scheduleFaultEnd(std::size_t fault, Duration length, std::function<void()> undo) {
  soak_.environment.schedule(length, [this, fault, undo = std::move(undo)] {
    undo();
    soak_.faults.end(fault, now());
  });
}

void Machine::scheduleLinkFaultEnd(std::size_t fault, Duration length, std::function<void()> undo) {
  soak_.on_link_fault(name(), true);
  scheduleFaultEnd(fault, length, [this, undo = std::move(undo)] {
    undo();
    soak_.on_link_fault(name(), false);
  });
}

void Machine::delayLink(Duration one_way, Duration length) {
  const std::size_t fault = soak_.faults.begin(name(), FaultKind::kUnplanned, now());
  link_.setDelay(one_way);
  log("link delayed by " + milliseconds(one_way) + " for " + milliseconds(length));
  scheduleLinkFaultEnd(fault, length, [this] {
    link_.setDelay(Duration(0));
    log("link delay removed");
  });
}

void Machine::narrowLink(std::uint64_t bytes_per_second, Duration length) {
  const std::size_t fault = soak_.faults.begin(name(), FaultKind::kUnplanned, now());
  link_.setRate(bytes_per_second);
  log("link bandwidth limited to " + std::to_string(bytes_per_second) + " B/s for " +
      milliseconds(length));
  scheduleLinkFaultEnd(fault, length, [this] {
    link_.setRate(settings_.link_rate);
    log("link bandwidth restored");
  });
}

void Machine::silenceLink(Direction direction, Duration length) {
  const std::size_t fault = soak_.faults.begin(name(), FaultKind::kUnplanned, now());
  const std::string way = direction == Direction::kIn ? "inbound" : "outbound";
  link_.setSilent(direction, true);
  log("link silent " + way + " for " + milliseconds(length));
  scheduleLinkFaultEnd(fault, length, [this, direction, way] {
    link_.setSilent(direction, false);
    log("link no longer silent " + way);
  });
}

void Machine::resetLink() {
  soak_.on_link_fault(name(), true);
  soak_.on_link_fault(name(), false);
  soak_.faults.end(soak_.faults.begin(name(), FaultKind::kUnplanned, now()), now());
  link_.reset();
  log("link reset");
}

// ---- The server

std::string Machine::entryText(const std::string& state) const {
  return nlohmann::json{{"service", server_service_},
                        {"zone", settings_.zone},
                        {"slots", BackEnd::kSlots},
                        {"address", linkHost(settings_) + ":" + std::to_string(kServerPort)},
                        {"state", state},
                        {"version", "1"},
                        {"cold_remaining", "0ms"},
                        {"sequence", heartbeats_written_}}
      .dump();
}

void Machine::startServer() { startServerOf(settings_.service); }

void Machine::startServerOf(const std::string& service) {
  if (server_) return;
  server_service_ = service;
  is_server_leaving_ = false;
  if (!said_leaving_.empty() && !said_leaving_.back().ended) said_leaving_.back().ended = now();
  const std::string instance = "i-" + settings_.name + "-" + std::to_string(++server_starts_);
  server_ = std::make_unique<BackEnd>(
      soak_.context, soak_.environment, soak_.ledger, name(), instance,
      Address{linkHost(settings_), kServerPort},
      [this, instance](const std::string& id) { soak_.on_arrival(name(), instance, id); },
      [this, instance](std::uint64_t crasher) { onServerCrashed(instance, crasher); });
  state_ = "ready";
  soak_.store.put(entryKey(instance), entryText(state_));
  log("server " + instance + " of " + service + " ready");
}

void Machine::drainServer(bool is_announced, Duration length, Duration downtime) {
  if (!server_ || std::exchange(is_server_leaving_, true)) return;
  const std::string instance = server_->instance();
  if (is_announced) {
    state_ = "draining";
    soak_.store.put(entryKey(instance), entryText(state_));
  } else {
    state_.clear();
    soak_.store.remove(entryKey(instance));
  }
  server_->announceLeaving();
  leaving_since_.try_emplace(instance, now());
  log("server " + instance + (is_announced ? " draining" : " removed without draining") +
      ", serves for another " + milliseconds(length));
  soak_.environment.schedule(length, [this, instance, downtime] {
    if (server_ && server_->instance() == instance) endServer(instance, downtime);
  });
}

void Machine::announceServerLeaving(Duration length, Duration downtime) {
  if (!server_ || std::exchange(is_server_leaving_, true)) return;
  const std::string instance = server_->instance();
  server_->announceLeaving();
  said_leaving_.push_back({now(), std::nullopt});
  log("server " + instance + " says in its answers that it leaves, serves for another " +
      milliseconds(length));
  soak_.environment.schedule(length, [this, instance, downtime] {
    if (server_ && server_->instance() == instance) endServer(instance, downtime);
  });
}

void Machine::limitServer(double per_second, Duration length) {
  if (!server_) return;
  const std::string instance = server_->instance();
  server_->setLimit(per_second);
  soak_.on_limit(instance, per_second);
  log("server " + instance + " reports a limit of " + std::to_string(per_second) + " per second");
  soak_.environment.schedule(length, [this, instance, number = ++limits_set_] {
    if (!server_ || server_->instance() != instance || limits_set_ != number) return;
    server_->setLimit(std::nullopt);
    soak_.on_limit(instance, std::nullopt);
    log("server " + instance + " reports no limit");
  });
}

void Machine::endServer(const std::string& instance, Duration downtime) {
  const std::size_t fault = soak_.faults.begin(serverComponent(), FaultKind::kUnplanned, now());
  server_.reset();
  state_.clear();
  if (soak_.store.holds(entryKey(instance))) soak_.store.remove(entryKey(instance));
  log("server " + instance + " ended");
  restartServerLater(downtime, fault);
}

/// Called from within the server, which is therefore destroyed in a later event.
void Machine::onServerCrashed(const std::string& instance, std::uint64_t crasher) {
  soak_.environment.schedule(Duration(0), [this, instance, crasher] {
    if (!server_ || server_->instance() != instance) return;
    log("server " + instance + " crashed by crashing request " + std::to_string(crasher));
    soak_.on_crash(crasher);
    crashServer(kCrashDowntime);
  });
}

void Machine::crashServer(Duration downtime) {
  if (!server_) return;
  const std::size_t fault = soak_.faults.begin(serverComponent(), FaultKind::kUnplanned, now());
  dropCrashedServer();
  restartServerLater(downtime, fault);
}

void Machine::dropCrashedServer() {
  const std::string instance = server_->instance();
  server_.reset();
  state_.clear();
  log("server " + instance + " crashed");
  soak_.environment.schedule(kEntryLifetime, [this, instance] {
    if (soak_.store.holds(entryKey(instance))) soak_.store.remove(entryKey(instance));
  });
}

void Machine::reassignServer(const std::string& service, Duration length, Duration downtime) {
  if (!server_ || server_service_ != settings_.service) return;
  const std::size_t fault = soak_.faults.begin(serverComponent(), FaultKind::kUnplanned, now());
  dropCrashedServer();
  soak_.environment.schedule(kAddressKept, [this, service, length, downtime, fault] {
    startServerOf(service);
    const std::string instance = server_->instance();
    scheduleFaultEnd(fault, length, [this, instance, downtime] {
      if (server_ && server_->instance() == instance) endServer(instance, downtime);
    });
  });
}

void Machine::restartServerLater(Duration downtime, std::size_t fault) {
  scheduleFaultEnd(fault, downtime, [this] { startServer(); });
}

void Machine::slowServer(double factor, Duration length) {
  if (!server_) return;
  const std::size_t fault = soak_.faults.begin(serverComponent(), FaultKind::kUnplanned, now());
  server_->setSlowdown(factor);
  log("server slowed down for " + milliseconds(length));
  scheduleFaultEnd(fault, length, [this] {
    if (server_) server_->setSlowdown(1.0);
  });
}

void Machine::lapseEntry(Duration length) {
  if (!server_ || state_ != "ready") return;
  const std::string instance = server_->instance();
  state_.clear();
  soak_.store.remove(entryKey(instance));
  leaving_since_.try_emplace(instance, now());
  log("entry of " + instance + " lapsed for " + milliseconds(length));
  soak_.environment.schedule(length, [this, instance] {
    const bool is_there = server_ && server_->instance() == instance && !is_server_leaving_;
    if (!is_there) return;
    state_ = "ready";
    leaving_since_.erase(instance);
    soak_.store.put(entryKey(instance), entryText(state_));
    log("entry of " + instance + " restored");
  });
}

void Machine::heartbeat() {
  if (!server_ || state_.empty()) return;
  ++heartbeats_written_;
  const std::string key = entryKey(server_->instance());
  const std::string* const held = soak_.store.find(key);
  const bool is_same = held != nullptr && nlohmann::json::parse(*held).at("state") == state_;
  if (is_same) return soak_.store.touch(key, entryText(state_));
  soak_.store.put(key, entryText(state_));
}

bool Machine::writes(const std::string& key) const {
  return server_ && !state_.empty() && key == entryKey(server_->instance());
}

bool Machine::hadSaidLeaving(TimePoint from, TimePoint to) const {
  return std::any_of(said_leaving_.begin(), said_leaving_.end(), [&](const SaidLeaving& leaving) {
    return leaving.since <= to && (!leaving.ended || *leaving.ended >= from);
  });
}

std::optional<TimePoint> Machine::leavingSince(const std::string& instance) const {
  const auto found = leaving_since_.find(instance);
  if (found == leaving_since_.end()) return std::nullopt;
  return found->second;
}

}  // namespace coursepond::soak
