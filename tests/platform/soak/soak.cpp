#include "soak.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <ctime>
#include <deque>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <utility>

#include "client.h"
#include "runtime/asio_environment.h"

namespace coursepond::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kConfigurationKey[] = "op/config";
constexpr int kOk = 200;
constexpr std::size_t kZones = 3;
/// The amount of a kServerLimit event is in thousandths of a request per second.
constexpr double kLimitUnits = 1000.0;
/// Time for the nodes to start serving.
constexpr Duration kWarmUp = seconds(5);
/// Time after the last event until all faults have ended: the longest fault (a planned stop and its
/// downtime) with a margin.
constexpr Duration kFaultsEnd = seconds(10);
/// After all faults and `contact`, every machine must serve the newest version within this time.
constexpr Duration kFinal = seconds(4);
/// Interval and maximum age of the copies from which the store is restored.
constexpr Duration kCopyInterval = milliseconds(250);
constexpr Duration kOldestCopy = seconds(8);
/// Delays after a restore. Servers need one heartbeat and a margin to write their entries again.
constexpr Duration kOperatorRewriteDelay = milliseconds(400);
constexpr Duration kServerRewriteDelay = milliseconds(1600);
constexpr Duration kPoll = milliseconds(10);
/// A timer of the soak that is later than this counts as a fault of the soak, because observations
/// made at that time are not reliable.
constexpr Duration kLagLimit = milliseconds(250);
constexpr Duration kClientPause = milliseconds(70);
/// With more machines than this, clients pause longer between requests.
constexpr std::size_t kMachinesAtFullPace = 8;
constexpr Duration kProbePause = milliseconds(200);
constexpr double kAbandonFraction = 0.02;
constexpr double kInjectedFaultFraction = 0.03;
/// Fraction of the requests whose path lacks the slash at the end of a route's prefix.
constexpr double kLacksSlashFraction = 0.03;
/// Fraction of the requests that crash servers while a crashing request is active.
constexpr double kCrasherFraction = 0.05;
/// Body size in bytes of crashing requests that must not be repeated.
constexpr std::size_t kCrasherBody = 700;
/// Time for which a crashing request runs before it crashes its server.
constexpr Duration kCrashDelay = milliseconds(60);
constexpr std::size_t kViolationsPrinted = 20;

/// Derives the seed of a client so that it differs from the seed of the schedule.
std::uint64_t clientSeed(std::uint64_t seed, std::uint64_t number) {
  return seed * 1'000'003 + number + 1;
}

std::uint64_t randomNumber(RandomEngine& random, std::uint64_t lowest, std::uint64_t highest) {
  return std::uniform_int_distribution<std::uint64_t>(lowest, highest)(random);
}

bool chance(RandomEngine& random, double part) { return std::bernoulli_distribution(part)(random); }

std::string wallClock() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t time = std::chrono::system_clock::to_time_t(now);
  std::tm parts{};
  localtime_r(&time, &parts);
  char text[16];
  std::strftime(text, sizeof text, "%H:%M:%S", &parts);
  const auto part = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) % 1000;
  return std::string(text) + "." + std::to_string(1000 + part.count()).substr(1);
}

std::vector<std::string> serviceNames() {
  std::vector<std::string> names;
  for (std::size_t number = 0; number < kServices; ++number) {
    names.push_back("service-" + std::string(1, static_cast<char>('a' + number)));
  }
  return names;
}

/// Returns a request with random sizes and times for a route that is in every version.
RequestPlan planFor(std::size_t number, const Route& route, RandomEngine& random) {
  RequestPlan plan;
  plan.route = number;
  plan.path_prefix = route.path_prefix;
  plan.is_repeatable = route.is_repeatable;
  plan.work = milliseconds(static_cast<std::int64_t>(randomNumber(random, 2, 200)));
  plan.answer_bytes =
      chance(random, 0.03) ? randomNumber(random, 50'000, 300'000) : randomNumber(random, 0, 3000);
  if (!route.is_repeatable && !chance(random, 0.2)) {
    plan.body_bytes =
        chance(random, 0.1) ? randomNumber(random, 20'000, 100'000) : randomNumber(random, 1, 2000);
  }
  plan.deadline = milliseconds(static_cast<std::int64_t>(randomNumber(random, 600, 2500)));
  if (chance(random, kInjectedFaultFraction))
    plan.injected_fault = static_cast<AnswerFault>(randomNumber(random, 1, 3));
  return plan;
}

}  // namespace

/// A copy of the store's content and its time.
struct StoreCopy {
  TimePoint taken;
  std::shared_ptr<const platform::StoreStandIn::Copy> copy;
};

class Soak::Implementation {
 public:
  explicit Implementation(SoakSettings settings)
      : settings_(std::move(settings)),
        environment_(context_),
        store_(context_),
        versions_(serviceNames()),
        origin_(environment_.now()),
        checker_(settings_.bounds, ledger_, versions_, faults_, machines_, origin_),
        events_(settings_.folder + "/events.log") {
    if (!events_) throw std::runtime_error("cannot write files in " + settings_.folder);
    checker_.onViolation([this](const Violation& violation) { onViolation(violation); });
    makeMachines();
    makeClients();
  }

  SoakOutcome run();

 private:
  TimePoint now() const { return environment_.now(); }
  void log(const std::string& line);
  void onViolation(const Violation& violation);
  void makeMachines();
  void makeClients();
  void addClient(Machine& machine, ClientStyle style, Duration pause, bool is_probe);
  std::optional<RequestPlan> planWork(ClientStyle style, RandomEngine& random) const;
  std::optional<RequestPlan> planProbe(RandomEngine& random) const;
  std::optional<RequestPlan> planCrasher(RandomEngine& random) const;

  void measureTimerLag(TimePoint due);
  void poll();
  void writeHeartbeats();
  std::string otherService(const Machine& machine) const;
  void inject(const Event& event);
  void injectStoreFault(const Event& event);
  void endStoreFault();
  void copyStore();
  void restoreStore(const Event& event);
  void rewriteAfterRestore(std::size_t fault);
  void removeOrphanedEntries();
  void writeVersion(std::uint64_t added, std::uint64_t removed);
  void noteServed(const Request& request);
  void checkRecovery();
  SoakOutcome outcome() const;

  SoakSettings settings_;
  boost::asio::io_context context_{1};
  runtime::AsioEnvironment environment_;
  platform::StoreStandIn store_;
  Ledger ledger_;
  FaultLog faults_;
  VersionHistory versions_;
  TimePoint origin_;
  PromiseChecker::Machines machines_;
  PromiseChecker checker_;
  std::ofstream events_;
  std::vector<std::unique_ptr<Client>> clients_;
  /// Time until which each crashing request is sent, by its number.
  std::map<std::uint64_t, TimePoint> crashers_until_;
  /// Newest version whose routes were served, by machine.
  std::map<std::string, std::size_t> newest_served_;
  std::size_t active_store_faults_ = 0;
  std::deque<StoreCopy> copies_;  ///< Copies of the last kOldestCopy, oldest first.
  std::string newest_text_;       ///< Text of the newest configuration.
  std::size_t longest_version_bytes_ = 0;
  Duration longest_lag_{};
};

void Soak::Implementation::log(const std::string& line) {
  events_ << wallClock() << " " << toMilliseconds(now() - origin_) << " ms " << line << std::endl;
}

void Soak::Implementation::onViolation(const Violation& violation) {
  log("VIOLATION " + violation.kind + " " + violation.description);
  const std::size_t count = checker_.violations().size();
  if (count > kViolationsPrinted) return;
  std::cout << "VIOLATION " << violation.kind << ": " << violation.description << std::endl;
  if (count == kViolationsPrinted)
    std::cout << "see events.log for further violations" << std::endl;
}

// ---- Setup

void Soak::Implementation::makeMachines() {
  const std::vector<std::string> services = serviceNames();
  SoakContext soak{
      context_,
      environment_,
      store_,
      ledger_,
      faults_,
      [this](const std::string& machine, const std::string& instance, const std::string& id) {
        const auto found = std::find_if(machines_.begin(), machines_.end(), [&](const auto& known) {
          return known->name() == machine;
        });
        checker_.onArrival(**found, instance, id, ledger_.find(id), now());
      },
      [this](std::uint64_t crasher) { checker_.onCrash(crasher, now()); },
      [this](const std::string& kind, const std::string& description) {
        checker_.report(kind, description);
      },
      [this](const std::string& line) { log(line); },
      [this](const std::string& instance, std::optional<double> per_second) {
        checker_.onLimit(instance, per_second, now());
      },
      [this](const std::string& machine) { checker_.onNodeDisturbed(machine); },
      [this](const std::string& machine, bool begins) {
        checker_.onLinkFault(machine, begins, now());
      }};
  for (std::size_t number = 0; number < settings_.schedule.machines; ++number) {
    MachineSettings machine;
    machine.name = "m" + std::to_string(number + 1);
    machine.number = number;
    machine.network = settings_.network;
    machine.service = services[number % kServices];
    machine.zone = "zone-" + std::to_string(number / kServices % kZones);
    machine.folder = settings_.folder;
    machine.link_rate = settings_.link_rate;
    machine.bounds = settings_.bounds;
    machines_.push_back(std::make_unique<Machine>(soak, machine));
  }
}

void Soak::Implementation::makeClients() {
  const std::size_t slower = std::max<std::size_t>(1, machines_.size() / kMachinesAtFullPace);
  const Duration pause = kClientPause * slower;
  for (const auto& machine : machines_) {
    addClient(*machine, ClientStyle::kSerial, pause, false);
    addClient(*machine, ClientStyle::kSerial, pause, false);
    addClient(*machine, ClientStyle::kPipelined, pause * 2, false);
    addClient(*machine, ClientStyle::kFresh, pause * 2, false);
    addClient(*machine, ClientStyle::kSerial, kProbePause, true);
  }
}

void Soak::Implementation::addClient(Machine& machine, ClientStyle style, Duration pause,
                                     bool is_probe) {
  ClientSettings settings;
  settings.name = "c" + std::to_string(clients_.size() + 1);
  settings.machine = machine.name();
  settings.node = machine.callerAddress();
  settings.style = style;
  settings.pause = pause;
  settings.abandon_fraction = is_probe ? 0.0 : kAbandonFraction;
  settings.seed = clientSeed(settings_.schedule.seed, clients_.size());
  ClientHooks hooks;
  hooks.plan = [this, style, is_probe](RandomEngine& random) {
    return is_probe ? planProbe(random) : planWork(style, random);
  };
  hooks.node_incarnation = [&machine] { return machine.nodeIncarnation(); };
  hooks.on_end = [this](Request& request) {
    noteServed(request);
    checker_.onEnd(request);
  };
  clients_.push_back(
      std::make_unique<Client>(context_, environment_, ledger_, settings, std::move(hooks)));
}

std::optional<RequestPlan> Soak::Implementation::planWork(ClientStyle style,
                                                          RandomEngine& random) const {
  const std::optional<RequestPlan> crasher = planCrasher(random);
  // Requests that must not be repeated are not pipelined.
  if (crasher && (style != ClientStyle::kPipelined || crasher->is_repeatable)) return crasher;
  while (true) {
    const std::size_t number = randomNumber(random, 0, versions_.baseCount() - 1);
    const Route& route = versions_.route(number);
    if (style == ClientStyle::kPipelined && !route.is_repeatable) continue;
    RequestPlan plan = planFor(number, route, random);
    // Drawn from a copy, so that the other draws of a seed stay the same.
    RandomEngine copy = random;
    plan.lacks_slash = chance(copy, kLacksSlashFraction);
    return plan;
  }
}

/// Returns a crashing request for a small fraction of the calls while one is active. It always has
/// the same route, times and sizes.
std::optional<RequestPlan> Soak::Implementation::planCrasher(RandomEngine& random) const {
  for (const auto& [number, until] : crashers_until_) {
    if (now() > until || !chance(random, kCrasherFraction)) continue;
    RequestPlan plan;
    plan.route = number % versions_.baseCount();
    const Route& route = versions_.route(plan.route);
    plan.path_prefix = route.path_prefix;
    plan.is_repeatable = route.is_repeatable;
    if (!route.is_repeatable) plan.body_bytes = kCrasherBody;
    plan.work = kCrashDelay;
    plan.deadline = seconds(2);
    plan.crasher = number;
    return plan;
  }
  return std::nullopt;
}

/// Returns a request mostly for the newest routes, and sometimes for a removed route.
std::optional<RequestPlan> Soak::Implementation::planProbe(RandomEngine& random) const {
  const std::vector<std::size_t>& markers = versions_.markers();
  const std::vector<std::size_t>& removed = versions_.removedMarkers();
  if (markers.empty()) return std::nullopt;
  std::size_t number = markers.back();
  if (chance(random, 0.2)) number = markers[randomNumber(random, 0, markers.size() - 1)];
  if (!removed.empty() && chance(random, 0.25)) {
    number = removed[randomNumber(random, 0, removed.size() - 1)];
  }
  const Route& route = versions_.route(number);
  RequestPlan plan;
  plan.route = number;
  plan.path_prefix = route.path_prefix;
  plan.work = milliseconds(1);
  plan.answer_bytes = 20;
  plan.deadline = seconds(1);
  return plan;
}

void Soak::Implementation::noteServed(const Request& request) {
  if (request.status != kOk) return;
  std::size_t& newest = newest_served_[request.machine];
  newest = std::max(newest, versions_.route(request.route).added);
}

// ---- Periodic tasks

void Soak::Implementation::measureTimerLag(TimePoint due) {
  const Duration lag = now() - due;
  longest_lag_ = std::max(longest_lag_, lag);
  if (lag > kLagLimit) {
    log("the soak's own timers were late by " + std::to_string(toMilliseconds(lag)) + " ms");
    const std::size_t fault = faults_.begin(kSoakComponent, FaultKind::kUnplanned, due);
    faults_.end(fault, now());
  }
}

void Soak::Implementation::poll() {
  for (const auto& machine : machines_) machine->pollNode();
  checker_.checkEnded(now());
  environment_.schedule(kPoll, [this, due = now() + kPoll] {
    measureTimerLag(due);
    poll();
  });
}

void Soak::Implementation::writeHeartbeats() {
  for (const auto& machine : machines_) machine->heartbeat();
  environment_.schedule(kHeartbeat, [this] { writeHeartbeats(); });
}

// ---- Events

void Soak::Implementation::writeVersion(std::uint64_t added, std::uint64_t removed) {
  versions_.prepare(added, removed);
  const std::string text = versions_.text();
  newest_text_ = text;
  const std::size_t version = versions_.count();
  store_.put(kConfigurationKey, text);
  versions_.acknowledge(now());
  longest_version_bytes_ = std::max(longest_version_bytes_, text.size());
  log("version " + VersionHistory::label(version) + " acknowledged, " +
      std::to_string(versions_.routeCount()) + " routes, " + std::to_string(text.size()) +
      " bytes");
}

std::string Soak::Implementation::otherService(const Machine& machine) const {
  const std::vector<std::string> names = serviceNames();
  const auto found = std::find(names.begin(), names.end(), machine.service());
  return std::next(found) == names.end() ? names.front() : *std::next(found);
}

void Soak::Implementation::inject(const Event& event) {
  Machine& machine = *machines_[event.machine];
  switch (event.kind) {
    case EventKind::kTerminate:
      return machine.terminateNode(event.length);
    case EventKind::kKill:
      return machine.killNode(event.length);
    case EventKind::kFreeze:
      return machine.freezeNode(event.length);
    case EventKind::kHangUp:
      return machine.hangUpNode();
    case EventKind::kLinkDelay:
      return machine.delayLink(Duration(static_cast<Duration::rep>(event.amount)), event.length);
    case EventKind::kLinkNarrow:
      return machine.narrowLink(event.amount, event.length);
    case EventKind::kLinkReset:
      return machine.resetLink();
    case EventKind::kLinkSilentIn:
      return machine.silenceLink(Direction::kIn, event.length);
    case EventKind::kLinkSilentOut:
      return machine.silenceLink(Direction::kOut, event.length);
    case EventKind::kServerDrain:
      return machine.drainServer(true, event.length, event.downtime);
    case EventKind::kServerGoes:
      return machine.drainServer(false, event.length, event.downtime);
    case EventKind::kServerCrash:
      return machine.crashServer(event.downtime);
    case EventKind::kServerSlow:
      return machine.slowServer(static_cast<double>(event.amount), event.length);
    case EventKind::kServerLimit:
      return machine.limitServer(static_cast<double>(event.amount) / kLimitUnits, event.length);
    case EventKind::kServerSaysLeaving:
      return machine.announceServerLeaving(event.length, event.downtime);
    case EventKind::kEntryLapse:
      return machine.lapseEntry(event.length);
    case EventKind::kVersion:
      return writeVersion(event.amount, event.removed);
    case EventKind::kSuspend:
      return machine.suspendNode(event.length);
    case EventKind::kTerminateAgain:
      return machine.terminateNodeAgain();
    case EventKind::kServerReassigned:
      return machine.reassignServer(otherService(machine), event.length, event.downtime);
    case EventKind::kFreezeReaders:
      for (const auto& each : machines_) {
        if (each->readsStore()) each->freezeNode(event.length);
      }
      return;
    case EventKind::kCrashingRequest:
      log(describeEvent(event));
      crashers_until_[event.amount] = now() + event.length;
      return;
    default:
      return injectStoreFault(event);
  }
}

void Soak::Implementation::injectStoreFault(const Event& event) {
  log("store: " + describeEvent(event));
  if (event.kind == EventKind::kStoreForgets) return store_.forgetHistory();
  if (event.kind == EventKind::kStoreRestored) return restoreStore(event);
  const std::size_t fault = faults_.begin(kStoreComponent, FaultKind::kUnplanned, now());
  ++active_store_faults_;
  switch (event.kind) {
    case EventKind::kStoreSlow:
      store_.setDelay(Duration(static_cast<Duration::rep>(event.amount)));
      break;
    case EventKind::kStoreDown:
      store_.setTrouble(platform::StoreTrouble::kBusy);
      store_.cutWatches();
      break;
    case EventKind::kStoreSilent:
      store_.setTrouble(platform::StoreTrouble::kSilent);
      break;
    case EventKind::kStoreThrottled:
      store_.setTrouble(platform::StoreTrouble::kThrottled);
      break;
    default:
      store_.setTrouble(platform::StoreTrouble::kReset);
      store_.cutWatches();
      break;
  }
  environment_.schedule(event.length, [this, fault] {
    faults_.end(fault, now());
    endStoreFault();
  });
}

/// Ends one store fault. The store recovers when no other fault is active.
void Soak::Implementation::endStoreFault() {
  if (--active_store_faults_ > 0) return;
  store_.setDelay(Duration(0));
  store_.setTrouble(platform::StoreTrouble::kNone);
  log("store recovered");
}

void Soak::Implementation::copyStore() {
  copies_.push_back({now(), store_.copy()});
  while (copies_.front().taken + kOldestCopy < now()) copies_.pop_front();
  environment_.schedule(kCopyInterval, [this] { copyStore(); });
}

/// Makes the store unavailable for the length of the event, then restores it from the newest copy
/// that is at least as old as the event says.
void Soak::Implementation::restoreStore(const Event& event) {
  const Duration age(static_cast<Duration::rep>(event.amount));
  StoreCopy chosen = copies_.front();
  for (const StoreCopy& copy : copies_) {
    if (copy.taken + age <= now()) chosen = copy;
  }
  const std::size_t fault = faults_.begin(kStoreComponent, FaultKind::kUnplanned, now());
  ++active_store_faults_;
  store_.setTrouble(platform::StoreTrouble::kBusy);
  store_.cutWatches();
  environment_.schedule(event.length, [this, fault, chosen] {
    const std::uint64_t before = store_.revision();
    store_.restore(*chosen.copy);
    log("store restored from a copy: era " + std::to_string(store_.era()) + ", revision " +
        std::to_string(before) + " to " + std::to_string(store_.revision()));
    endStoreFault();
    rewriteAfterRestore(fault);
  });
}

/// The operator and the servers write again what the copy lacks, then the fault ends.
void Soak::Implementation::rewriteAfterRestore(std::size_t fault) {
  environment_.schedule(kOperatorRewriteDelay, [this] {
    store_.put(kConfigurationKey, newest_text_);
    log("newest version written again");
  });
  environment_.schedule(kServerRewriteDelay, [this, fault] { faults_.end(fault, now()); });
  environment_.schedule(kEntryLifetime, [this] { removeOrphanedEntries(); });
}

/// Removes entries that were restored from the copy and that no running server writes.
void Soak::Implementation::removeOrphanedEntries() {
  for (const std::string& key : store_.keys("servers/")) {
    const bool is_kept = std::any_of(machines_.begin(), machines_.end(),
                                     [&key](const auto& machine) { return machine->writes(key); });
    if (!is_kept) store_.remove(key);
  }
}

// ---- Run

SoakOutcome Soak::Implementation::run() {
  writeVersion(2, 0);
  for (const auto& machine : machines_) {
    machine->startServer();
    machine->startNode();
  }
  poll();
  writeHeartbeats();
  copyStore();
  environment_.schedule(kWarmUp, [this] {
    for (const auto& client : clients_) client->start();
  });
  for (const Event& event : makeSchedule(settings_.schedule)) {
    environment_.schedule(kWarmUp + event.at, [this, event] { inject(event); });
  }
  const Duration calm_from = kWarmUp + settings_.schedule.length + kFaultsEnd;
  environment_.schedule(calm_from, [this] { log("all faults have ended"); });
  const Duration end = calm_from + settings_.bounds.contact + kFinal;
  environment_.schedule(end, [this] {
    checkRecovery();
    for (const auto& client : clients_) client->finish();
  });
  context_.run_for(end + seconds(5));
  checker_.checkEnded(TimePoint::max() - seconds(10));
  checker_.checkAll();
  clients_.clear();
  return outcome();
}

void Soak::Implementation::checkRecovery() {
  for (const auto& machine : machines_) {
    const std::size_t served = newest_served_[machine->name()];
    const std::size_t newest = versions_.count() - 1;
    if (served == newest) continue;
    checker_.report("not_recovered", machine->name() + " serves routes of " +
                                         VersionHistory::label(served) + " at the end, not of " +
                                         VersionHistory::label(newest));
  }
}

SoakOutcome Soak::Implementation::outcome() const {
  SoakOutcome outcome;
  outcome.violations = checker_.violations();
  outcome.counts = checker_.counts();
  outcome.versions = versions_.count();
  outcome.routes = versions_.routeCount();
  outcome.longest_version_bytes = longest_version_bytes_;
  outcome.longest_lag = longest_lag_;
  return outcome;
}

Soak::Soak(SoakSettings settings)
    : implementation_(std::make_unique<Implementation>(std::move(settings))) {}

Soak::~Soak() = default;

SoakOutcome Soak::run() { return implementation_->run(); }

}  // namespace coursepond::soak
