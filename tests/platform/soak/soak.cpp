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
constexpr std::size_t kServices = 3;
constexpr std::size_t kZones = 3;
/// Until the nodes have begun to serve.
constexpr Duration kWarmUp = seconds(5);
/// After the last event: the longest trouble (a planned stop and its time away), with a reserve.
constexpr Duration kTroublesEnd = seconds(10);
/// After that and `contact`, every machine must serve the newest version within this.
constexpr Duration kFinal = seconds(4);
/// Copies that the store may come back from.
constexpr Duration kCopyInterval = milliseconds(250);
constexpr Duration kOldestCopy = seconds(8);
/// After the store is back; a heartbeat and a little more for the servers.
constexpr Duration kOperatorWritesAgain = milliseconds(400);
constexpr Duration kServersWriteAgain = milliseconds(1600);
constexpr Duration kPoll = milliseconds(10);
/// A timer of the soak that is so late makes what it saw unfit to judge.
constexpr Duration kLagLimit = milliseconds(250);
constexpr Duration kClientPause = milliseconds(70);
/// With more machines, each one's clients pause longer.
constexpr std::size_t kMachinesAtFullPace = 8;
constexpr Duration kProbePause = milliseconds(200);
constexpr double kLeavingPart = 0.02;
constexpr double kSpoiltPart = 0.03;
/// Of the requests, those that crash servers while such a one is about,
constexpr double kCrasherPart = 0.05;
/// with a body of so many bytes where they may not be repeated,
constexpr std::size_t kCrasherBody = 700;
/// and how long one runs before its server ends.
constexpr Duration kCrashDelay = milliseconds(60);
constexpr std::size_t kViolationsPrinted = 20;

/// Seeds of the clients are far from the schedule's.
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

/// Sizes and times of a request to a route that is in every version.
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
  if (chance(random, kSpoiltPart)) plan.spoil = static_cast<Spoil>(randomNumber(random, 1, 3));
  return plan;
}

}  // namespace

/// What the store held at a moment.
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
        judge_(settings_.bounds, ledger_, versions_, troubles_, machines_, origin_),
        events_(settings_.folder + "/events.log") {
    if (!events_) throw std::runtime_error("no file can be written in " + settings_.folder);
    judge_.onViolation([this](const Violation& violation) { onViolation(violation); });
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

  void watchClock(TimePoint due);
  void poll();
  void beatHearts();
  void play(const Event& event);
  void playStore(const Event& event);
  void endStoreTrouble();
  void copyStore();
  void restoreStore(const Event& event);
  void writeAgain(std::size_t trouble);
  void lapseUnwritten();
  void writeVersion(std::uint64_t added, std::uint64_t removed);
  void noteServed(const Request& request);
  void judgeRecovery();
  SoakOutcome outcome() const;

  SoakSettings settings_;
  boost::asio::io_context context_{1};
  runtime::AsioEnvironment environment_;
  platform::StoreStandIn store_;
  Ledger ledger_;
  TroubleBook troubles_;
  VersionBook versions_;
  TimePoint origin_;
  Judge::Machines machines_;
  Judge judge_;
  std::ofstream events_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::map<std::uint64_t, TimePoint> crashers_until_;  ///< By number: sent until then.
  std::map<std::string, std::size_t> newest_served_;   ///< By machine, of the newest routes.
  std::size_t store_troubles_ = 0;
  std::deque<StoreCopy> copies_;  ///< Of the last seconds, oldest first.
  std::string newest_text_;       ///< Of the configuration.
  std::size_t longest_ = 0;
  Duration longest_lag_{};
};

void Soak::Implementation::log(const std::string& line) {
  events_ << wallClock() << " " << toMilliseconds(now() - origin_) << " ms " << line << std::endl;
}

void Soak::Implementation::onViolation(const Violation& violation) {
  log("VIOLATION " + violation.kind + " " + violation.story);
  const std::size_t count = judge_.violations().size();
  if (count > kViolationsPrinted) return;
  std::cout << "VIOLATION " << violation.kind << ": " << violation.story << std::endl;
  if (count == kViolationsPrinted) std::cout << "further ones stand in events.log" << std::endl;
}

// ---- The parts

void Soak::Implementation::makeMachines() {
  const std::vector<std::string> services = serviceNames();
  Surroundings surroundings{
      context_,
      environment_,
      store_,
      ledger_,
      troubles_,
      [this](const std::string& machine, const std::string& instance, const std::string& id) {
        const auto found = std::find_if(machines_.begin(), machines_.end(), [&](const auto& known) {
          return known->name() == machine;
        });
        judge_.onArrival(**found, instance, id, ledger_.find(id), now());
      },
      [this](std::uint64_t crasher) { judge_.onCrash(crasher, now()); },
      [this](const std::string& kind, const std::string& story) { judge_.report(kind, story); },
      [this](const std::string& line) { log(line); }};
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
    machines_.push_back(std::make_unique<Machine>(surroundings, machine));
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
  settings.node = machine.callers();
  settings.style = style;
  settings.pause = pause;
  settings.leaving_part = is_probe ? 0.0 : kLeavingPart;
  settings.seed = clientSeed(settings_.schedule.seed, clients_.size());
  ClientHooks hooks;
  hooks.plan = [this, style, is_probe](RandomEngine& random) {
    return is_probe ? planProbe(random) : planWork(style, random);
  };
  hooks.node_life = [&machine] { return machine.nodeLife(); };
  hooks.on_end = [this](Request& request) {
    noteServed(request);
    judge_.onEnd(request);
  };
  clients_.push_back(
      std::make_unique<Client>(context_, environment_, ledger_, settings, std::move(hooks)));
}

std::optional<RequestPlan> Soak::Implementation::planWork(ClientStyle style,
                                                          RandomEngine& random) const {
  const std::optional<RequestPlan> crasher = planCrasher(random);
  // What may not be repeated is sent alone on its connection.
  if (crasher && (style != ClientStyle::kPipelined || crasher->is_repeatable)) return crasher;
  while (true) {
    const std::size_t number = randomNumber(random, 0, versions_.baseCount() - 1);
    const Route& route = versions_.route(number);
    if (style == ClientStyle::kPipelined && !route.is_repeatable) continue;
    return planFor(number, route, random);
  }
}

/// A few of all requests, while one that crashes servers is about: always the same route, times and
/// sizes.
std::optional<RequestPlan> Soak::Implementation::planCrasher(RandomEngine& random) const {
  for (const auto& [number, until] : crashers_until_) {
    if (now() > until || !chance(random, kCrasherPart)) continue;
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

/// Mostly the newest routes, and some that have gone.
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

// ---- Repeated work

void Soak::Implementation::watchClock(TimePoint due) {
  const Duration lag = now() - due;
  longest_lag_ = std::max(longest_lag_, lag);
  if (lag > kLagLimit) {
    log("the soak's own timers were late by " + std::to_string(toMilliseconds(lag)) + " ms");
    const std::size_t trouble = troubles_.begin(kSoakPlace, TroubleKind::kUnplanned, due);
    troubles_.end(trouble, now());
  }
}

void Soak::Implementation::poll() {
  for (const auto& machine : machines_) machine->pollNode();
  judge_.judgeEnded(now());
  environment_.schedule(kPoll, [this, due = now() + kPoll] {
    watchClock(due);
    poll();
  });
}

void Soak::Implementation::beatHearts() {
  for (const auto& machine : machines_) machine->heartbeat();
  environment_.schedule(kHeartbeat, [this] { beatHearts(); });
}

// ---- Events

void Soak::Implementation::writeVersion(std::uint64_t added, std::uint64_t removed) {
  versions_.prepare(added, removed);
  const std::string text = versions_.text();
  newest_text_ = text;
  const std::size_t version = versions_.count();
  store_.put(kConfigurationKey, text);
  versions_.acknowledge(now());
  longest_ = std::max(longest_, text.size());
  log("version " + VersionBook::label(version) + " acknowledged, " +
      std::to_string(versions_.routeCount()) + " routes, " + std::to_string(text.size()) +
      " bytes");
}

void Soak::Implementation::play(const Event& event) {
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
      return machine.drainServer(true, event.length, event.second_length);
    case EventKind::kServerGoes:
      return machine.drainServer(false, event.length, event.second_length);
    case EventKind::kServerCrash:
      return machine.crashServer(event.second_length);
    case EventKind::kServerSlow:
      return machine.slowServer(static_cast<double>(event.amount), event.length);
    case EventKind::kEntryLapse:
      return machine.lapseEntry(event.length);
    case EventKind::kVersion:
      return writeVersion(event.amount, event.removed);
    case EventKind::kSuspend:
      return machine.suspendNode(event.length);
    case EventKind::kCrashingRequest:
      log(describeEvent(event));
      crashers_until_[event.amount] = now() + event.length;
      return;
    default:
      return playStore(event);
  }
}

void Soak::Implementation::playStore(const Event& event) {
  log("store: " + describeEvent(event));
  if (event.kind == EventKind::kStoreForgets) return store_.forgetHistory();
  if (event.kind == EventKind::kStoreRestored) return restoreStore(event);
  const std::size_t trouble = troubles_.begin(kStorePlace, TroubleKind::kUnplanned, now());
  ++store_troubles_;
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
  environment_.schedule(event.length, [this, trouble] {
    troubles_.end(trouble, now());
    endStoreTrouble();
  });
}

/// One of them; the store is well when it was the last.
void Soak::Implementation::endStoreTrouble() {
  if (--store_troubles_ > 0) return;
  store_.setDelay(Duration(0));
  store_.setTrouble(platform::StoreTrouble::kNone);
  log("store well again");
}

void Soak::Implementation::copyStore() {
  copies_.push_back({now(), store_.copy()});
  while (copies_.front().taken + kOldestCopy < now()) copies_.pop_front();
  environment_.schedule(kCopyInterval, [this] { copyStore(); });
}

/// Away for a moment, then back from the newest copy that is as old as the event says.
void Soak::Implementation::restoreStore(const Event& event) {
  const Duration age(static_cast<Duration::rep>(event.amount));
  StoreCopy chosen = copies_.front();
  for (const StoreCopy& copy : copies_) {
    if (copy.taken + age <= now()) chosen = copy;
  }
  const std::size_t trouble = troubles_.begin(kStorePlace, TroubleKind::kUnplanned, now());
  ++store_troubles_;
  store_.setTrouble(platform::StoreTrouble::kBusy);
  store_.cutWatches();
  environment_.schedule(event.length, [this, trouble, chosen] {
    const std::uint64_t before = store_.revision();
    store_.restore(*chosen.copy);
    log("store back from a copy: era " + std::to_string(store_.era()) + ", revision " +
        std::to_string(before) + " to " + std::to_string(store_.revision()));
    endStoreTrouble();
    writeAgain(trouble);
  });
}

/// The operator and the servers write again what the copy lacks; then all is well.
void Soak::Implementation::writeAgain(std::size_t trouble) {
  environment_.schedule(kOperatorWritesAgain, [this] {
    store_.put(kConfigurationKey, newest_text_);
    log("the newest version is written again");
  });
  environment_.schedule(kServersWriteAgain, [this, trouble] { troubles_.end(trouble, now()); });
  environment_.schedule(kEntryLife, [this] { lapseUnwritten(); });
}

/// Entries that the copy brought back and that no server keeps.
void Soak::Implementation::lapseUnwritten() {
  for (const std::string& key : store_.keys("servers/")) {
    const bool is_kept = std::any_of(machines_.begin(), machines_.end(),
                                     [&key](const auto& machine) { return machine->writes(key); });
    if (!is_kept) store_.remove(key);
  }
}

// ---- The run

SoakOutcome Soak::Implementation::run() {
  writeVersion(2, 0);
  for (const auto& machine : machines_) {
    machine->startServer();
    machine->startNode();
  }
  poll();
  beatHearts();
  copyStore();
  environment_.schedule(kWarmUp, [this] {
    for (const auto& client : clients_) client->start();
  });
  for (const Event& event : makeSchedule(settings_.schedule)) {
    environment_.schedule(kWarmUp + event.at, [this, event] { play(event); });
  }
  const Duration calm_from = kWarmUp + settings_.schedule.length + kTroublesEnd;
  environment_.schedule(calm_from, [this] { log("all troubles are over"); });
  const Duration end = calm_from + settings_.bounds.contact + kFinal;
  environment_.schedule(end, [this] {
    judgeRecovery();
    for (const auto& client : clients_) client->finish();
  });
  context_.run_for(end + seconds(5));
  judge_.judgeEnded(TimePoint::max() - seconds(10));
  judge_.judgeAll();
  clients_.clear();
  return outcome();
}

void Soak::Implementation::judgeRecovery() {
  for (const auto& machine : machines_) {
    const std::size_t served = newest_served_[machine->name()];
    const std::size_t newest = versions_.count() - 1;
    if (served == newest) continue;
    judge_.report("not_recovered", machine->name() + " serves routes of " +
                                       VersionBook::label(served) + " at the end, not of " +
                                       VersionBook::label(newest));
  }
}

SoakOutcome Soak::Implementation::outcome() const {
  SoakOutcome outcome;
  outcome.violations = judge_.violations();
  outcome.counts = judge_.counts();
  outcome.versions = versions_.count();
  outcome.routes = versions_.routeCount();
  outcome.longest = longest_;
  outcome.longest_lag = longest_lag_;
  return outcome;
}

Soak::Soak(SoakSettings settings)
    : implementation_(std::make_unique<Implementation>(std::move(settings))) {}

Soak::~Soak() = default;

SoakOutcome Soak::run() { return implementation_->run(); }

}  // namespace coursepond::soak
