#include "source/source_reader.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "model/machine_list.h"
#include "source/retry_backoff.h"

namespace coursepond::source {
namespace {

constexpr std::array<std::string_view, 4> kEventNames = {"failing", "recovered", "stale",
                                                         "malformed"};

Error platformMalformed(std::string message) {
  return Error{ErrorKind::kMalformed, std::move(message),
               "fix the response of the platform's service at this address; nothing was applied"};
}

/// Reads {"newest": 7}.
Result<Version> parseNewest(const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("newest") || !json["newest"].is_number_unsigned()) {
    return platformMalformed("/v1/configurations: expected {\"newest\": integer}");
  }
  return Version(json["newest"].get<std::uint64_t>());
}

FetchOutcome failedFetch(Error error) {
  FetchOutcome outcome;
  outcome.mistakes.push_back(model::DocumentMistake{"", std::move(error)});
  return outcome;
}

/// A document that parses completely and has the requested version, or its mistakes.
struct CheckedDocument {
  std::optional<model::ConfigurationDocument> document;
  std::vector<model::DocumentMistake> mistakes;
};

CheckedDocument checkBody(Version version, const std::string& body) {
  CheckedDocument checked;
  auto document = model::parseDocument(body);
  if (document.has_error()) {
    checked.mistakes = model::checkDocument(body);
    if (checked.mistakes.empty()) {
      checked.mistakes.push_back(model::DocumentMistake{"", document.error()});
    }
    return checked;
  }
  if (document->configuration.version != version) {
    Error error = platformMalformed("requested version " + std::to_string(version.value()) +
                                    ", received version " +
                                    std::to_string(document->configuration.version.value()));
    checked.mistakes.push_back(model::DocumentMistake{"version", std::move(error)});
    return checked;
  }
  checked.document = std::move(*document);
  return checked;
}

}  // namespace

std::string_view kindName(SourceEventKind kind) {
  return kEventNames[static_cast<std::size_t>(kind)];
}

/// Owned by a shared pointer. Callbacks hold a weak pointer, so that answers of the platform that
/// arrive after the reader was destroyed are ignored.
class SourceReader::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(SourceSettings settings, Environment& environment, PlatformClient& client,
                 SourceSink& sink)
      : settings_(settings),
        environment_(environment),
        client_(client),
        sink_(sink),
        version_backoff_(settings.version_interval, settings.backoff_base, settings.backoff_limit),
        machines_backoff_(settings.machines_interval, settings.backoff_base,
                          settings.machines_backoff_limit),
        bootstrap_backoff_(settings.machines_interval, settings.backoff_base,
                           settings.backoff_limit),
        document_backoff_(settings.version_interval, settings.backoff_base,
                          settings.backoff_limit) {}

  void setRole(bool source_reader) {
    if (source_reader == role_ || stopped_) {
      return;
    }
    role_ = source_reader;
    ++epoch_;
    cancelTimers();
    if (role_) {
      scheduleVersionRead(Duration::zero());
      scheduleMachinesRead(Duration::zero());
    }
  }

  void startBootstrap(Duration patience, PeersNeeded needed) {
    peers_needed_ = std::move(needed);
    const auto spread = static_cast<std::uint64_t>(settings_.bootstrap_spread.count()) + 1;
    const Duration random_part(static_cast<Duration::rep>(environment_.random(spread)));
    scheduleBootstrap(patience + random_part);
  }

  void onPauseDetected() { setRole(false); }

  void stop() {
    setRole(false);
    stopped_ = true;
    environment_.cancel(bootstrap_timer_);
  }

  void fetch(Version version, const FetchCallback& callback) {
    if (!mayRead()) {
      callback(failedFetch(Error{ErrorKind::kUnavailable, "this node does not read the platform",
                                 "ask a node that holds the reader role"}));
      return;
    }
    if (version == Version()) {
      fetchNewest(callback);
    } else {
      fetchVersion(version, callback);
    }
  }

  bool reading() const { return role_; }
  const SourceStatistics& statistics() const { return statistics_; }

 private:
  using Request = std::function<void(PlatformCallback)>;

  bool mayRead() const { return role_ && !stopped_ && sink_.mayRead(); }

  void cancelTimers() {
    environment_.cancel(version_timer_);
    environment_.cancel(machines_timer_);
  }

  /// Makes one request and calls `done` exactly once: with the answer, or with kTimeout.
  void read(const Request& request, PlatformCallback done) {
    read(request, settings_.read_timeout, std::move(done));
  }

  void read(const Request& request, Duration timeout, PlatformCallback done) {
    ++statistics_.reads;
    auto pending = std::make_shared<PlatformCallback>(std::move(done));
    const TimerId timer = environment_.schedule(timeout, [pending] {
      const PlatformCallback callback = std::exchange(*pending, nullptr);
      callback(Error{ErrorKind::kTimeout, "the platform did not answer in time",
                     "check the platform's service and its address in the settings"});
    });
    request([weak = weak_from_this(), pending, timer](Result<PlatformAnswer> answer) {
      const auto self = weak.lock();
      if (self == nullptr) {
        return;
      }
      if (*pending == nullptr) {
        ++self->statistics_.late_answers;
        return;
      }
      self->environment_.cancel(timer);
      const PlatformCallback callback = std::exchange(*pending, nullptr);
      callback(std::move(answer));
    });
  }

  /// Wraps a handler so that answers after a change of role, a pause or stop() are dropped.
  PlatformCallback whileReading(std::function<void(Result<PlatformAnswer>)> handler) {
    return [weak = weak_from_this(), epoch = epoch_,
            handler = std::move(handler)](Result<PlatformAnswer> answer) {
      const auto self = weak.lock();
      if (self == nullptr) {
        return;
      }
      if (self->epoch_ != epoch) {
        ++self->statistics_.late_answers;
        return;
      }
      handler(std::move(answer));
    };
  }

  // --- versions ---

  void scheduleVersionRead(Duration delay) {
    version_timer_ = environment_.schedule(delay, [this] { readNewest(); });
  }

  void readNewest() {
    if (!mayRead()) {
      ++statistics_.skipped_role;
      scheduleVersionRead(version_backoff_.next(environment_));
      return;
    }
    read([this](PlatformCallback done) { client_.readNewest(version_tag_, std::move(done)); },
         whileReading([this](Result<PlatformAnswer> answer) { onNewest(std::move(answer)); }));
  }

  void onNewest(Result<PlatformAnswer> answer) {
    if (answer.has_error()) {
      onFailure(version_backoff_, answer.error());
      scheduleVersionRead(version_backoff_.next(environment_));
      return;
    }
    onSuccess(version_backoff_);
    if (answer->not_modified) {
      ++statistics_.not_modified;
      scheduleVersionRead(version_backoff_.next(environment_));
      return;
    }
    const auto newest = parseNewest(answer->body);
    if (newest.has_error()) {
      onMalformed(newest.error());
      version_backoff_.onFailure();
      scheduleVersionRead(version_backoff_.next(environment_));
      return;
    }
    considerNewest(*newest, answer->entity_tag);
  }

  void considerNewest(Version newest, const std::string& entity_tag) {
    const Version known = std::max(newest_seen_, sink_.newestKnown());
    if (newest < known) {
      onStale("the platform reports version " + std::to_string(newest.value()) +
              " as the newest, below the known version " + std::to_string(known.value()));
    } else {
      newest_seen_ = newest;
      stale_reported_ = false;
    }
    if (newest == newest_accepted_) {
      version_tag_ = entity_tag;
    } else if (newest >= known && newest > Version() && mayReadDocument(newest)) {
      readDocument(newest, entity_tag);
      return;
    }
    scheduleVersionRead(version_backoff_.next(environment_));
  }

  bool mayReadDocument(Version version) const {
    return version != refused_version_ || environment_.now() >= refused_until_;
  }

  void readDocument(Version version, const std::string& entity_tag) {
    read([this,
          version](PlatformCallback done) { client_.readConfiguration(version, std::move(done)); },
         whileReading([this, version, entity_tag](Result<PlatformAnswer> answer) {
           onDocument(version, entity_tag, std::move(answer));
         }));
  }

  void onDocument(Version version, const std::string& entity_tag, Result<PlatformAnswer> answer) {
    if (answer.has_error()) {
      onFailure(document_backoff_, answer.error());
      postponeDocument(version);
    } else if (!acceptDocument(version, answer->body).empty()) {
      document_backoff_.onFailure();
      postponeDocument(version);
    } else {
      version_tag_ = entity_tag;
      onSuccess(document_backoff_);
    }
    scheduleVersionRead(version_backoff_.next(environment_));
  }

  void postponeDocument(Version version) {
    refused_version_ = version;
    refused_until_ = environment_.now() + document_backoff_.next(environment_);
  }

  /// Passes the document to the sink, or returns the reasons why it is refused.
  std::vector<model::DocumentMistake> acceptDocument(Version version, const std::string& body) {
    CheckedDocument checked = checkBody(version, body);
    if (!checked.document.has_value()) {
      const model::DocumentMistake& first = checked.mistakes.front();
      Error error = first.error;
      error.message =
          "version " + std::to_string(version.value()) + ", " + first.path + ": " + error.message;
      onMalformed(error);
      return checked.mistakes;
    }
    ++statistics_.versions_staged;
    newest_accepted_ = std::max(newest_accepted_, version);
    sink_.onConfiguration(*checked.document);
    return {};
  }

  // --- machines ---

  void scheduleMachinesRead(Duration delay) {
    machines_timer_ = environment_.schedule(delay, [this] { readMachines(); });
  }

  void readMachines() {
    if (!mayRead()) {
      ++statistics_.skipped_role;
      scheduleMachinesRead(machines_backoff_.next(environment_));
      return;
    }
    read([this](PlatformCallback done) { client_.readMachines(machines_tag_, std::move(done)); },
         settings_.machines_timeout, whileReading([this](Result<PlatformAnswer> answer) {
           onMachines(machines_backoff_, std::move(answer));
           scheduleMachinesRead(machines_backoff_.next(environment_));
         }));
  }

  void onMachines(RetryBackoff& backoff, Result<PlatformAnswer> answer) {
    if (answer.has_error()) {
      onFailure(backoff, answer.error());
      return;
    }
    onSuccess(backoff);
    if (answer->not_modified) {
      ++statistics_.not_modified;
      return;
    }
    const auto machines = model::parseMachineList(answer->body);
    if (machines.has_error()) {
      onMalformed(machines.error());
      backoff.onFailure();
      return;
    }
    acceptMachineList(*machines, answer->entity_tag);
  }

  void acceptMachineList(const model::MachineList& machines, const std::string& entity_tag) {
    if (machines.generation < machines_generation_) {
      onStale("the platform's machine list has generation " +
              std::to_string(machines.generation.value()) + ", below the known generation " +
              std::to_string(machines_generation_.value()));
      return;
    }
    machines_tag_ = entity_tag;
    if (machines.generation == machines_generation_) {
      return;
    }
    machines_generation_ = machines.generation;
    ++statistics_.machine_lists;
    sink_.onMachines(machines);
  }

  // --- bootstrap ---

  void scheduleBootstrap(Duration delay) {
    bootstrap_timer_ = environment_.schedule(delay, [this] { bootstrap(); });
  }

  void bootstrap() {
    if (stopped_ || !peers_needed_()) {
      return;
    }
    ++statistics_.bootstrap_reads;
    read([this](PlatformCallback done) { client_.readMachines("", std::move(done)); },
         [weak = weak_from_this()](Result<PlatformAnswer> answer) {
           if (const auto self = weak.lock(); self != nullptr && !self->stopped_) {
             self->onBootstrapAnswer(std::move(answer));
           }
         });
  }

  void onBootstrapAnswer(Result<PlatformAnswer> answer) {
    RetryBackoff unused = bootstrap_backoff_;
    onMachines(unused, std::move(answer));
    bootstrap_backoff_.onFailure();  // Each further try waits longer, answered or not.
    scheduleBootstrap(bootstrap_backoff_.next(environment_));
  }

  // --- fetches ---

  void fetchNewest(const FetchCallback& callback) {
    read([this](PlatformCallback done) { client_.readNewest("", std::move(done)); },
         forFetch(callback, [this, callback](const PlatformAnswer& answer) {
           const auto newest = parseNewest(answer.body);
           if (newest.has_error()) {
             callback(failedFetch(newest.error()));
           } else if (*newest < std::max(newest_seen_, sink_.newestKnown())) {
             onStale("the platform reports version " + std::to_string(newest->value()) +
                     " as the newest, below the newest known version");
             callback(failedFetch(staleError()));
           } else {
             fetchVersion(*newest, callback);
           }
         }));
  }

  void fetchVersion(Version version, const FetchCallback& callback) {
    read([this,
          version](PlatformCallback done) { client_.readConfiguration(version, std::move(done)); },
         forFetch(callback, [this, version, callback](const PlatformAnswer& answer) {
           FetchOutcome outcome;
           outcome.version = version;
           outcome.mistakes = acceptDocument(version, answer.body);
           callback(std::move(outcome));
         }));
  }

  /// Wraps a handler so that failures, and answers after the loss of the role, go to the fetch's
  /// callback instead.
  PlatformCallback forFetch(FetchCallback callback,
                            std::function<void(const PlatformAnswer&)> handler) {
    return [weak = weak_from_this(), epoch = epoch_, callback = std::move(callback),
            handler = std::move(handler)](Result<PlatformAnswer> answer) {
      const auto self = weak.lock();
      if (self == nullptr) {
        return;
      }
      if (answer.has_error()) {
        callback(failedFetch(answer.error()));
      } else if (self->epoch_ != epoch) {
        ++self->statistics_.late_answers;
        callback(failedFetch(Error{ErrorKind::kUnavailable,
                                   "this node lost the reader role during the read", "retry"}));
      } else {
        handler(*answer);
      }
    };
  }

  static Error staleError() {
    return Error{ErrorKind::kVersionRegression,
                 "the platform is stale: its newest version is older than one already known",
                 "name the version to plan, or wait until the platform is up to date"};
  }

  // --- changes of state ---

  void onFailure(RetryBackoff& backoff, const Error& error) {
    ++statistics_.failures;
    backoff.onFailure();
    if (!std::exchange(failing_reported_, true)) {
      sink_.onSourceEvent(SourceEvent{SourceEventKind::kFailing, error});
    }
  }

  void onSuccess(RetryBackoff& backoff) {
    backoff.onSuccess();
    if (version_backoff_.failing() || machines_backoff_.failing() || document_backoff_.failing()) {
      return;
    }
    if (std::exchange(failing_reported_, false)) {
      sink_.onSourceEvent(SourceEvent{SourceEventKind::kRecovered, Error{}});
    }
  }

  void onMalformed(const Error& error) {
    ++statistics_.malformed;
    if (std::exchange(last_malformed_, error.message) != error.message) {
      sink_.onSourceEvent(SourceEvent{SourceEventKind::kMalformed, error});
    }
  }

  void onStale(const std::string& message) {
    ++statistics_.stale;
    if (!std::exchange(stale_reported_, true)) {
      sink_.onSourceEvent(SourceEvent{
          SourceEventKind::kStale,
          Error{ErrorKind::kVersionRegression, message,
                "none needed: the answer is ignored until the platform is up to date"}});
    }
  }

  SourceSettings settings_;
  Environment& environment_;
  PlatformClient& client_;
  SourceSink& sink_;
  SourceStatistics statistics_;

  bool role_ = false;
  bool stopped_ = false;
  /// Increases when the role changes; answers to earlier requests are dropped.
  std::uint64_t epoch_ = 0;

  RetryBackoff version_backoff_;
  RetryBackoff machines_backoff_;
  RetryBackoff bootstrap_backoff_;
  RetryBackoff document_backoff_;
  TimerId version_timer_ = 0;
  TimerId machines_timer_ = 0;
  TimerId bootstrap_timer_ = 0;
  PeersNeeded peers_needed_;

  std::string version_tag_;  ///< Entity tag of the newest version whose document was accepted.
  std::string machines_tag_;
  Version newest_seen_;
  /// Each reader reads each version once, even if peers already hold it.
  Version newest_accepted_;
  Generation machines_generation_;
  Version refused_version_;    ///< Version whose document was refused or could not be read.
  TimePoint refused_until_{};  ///< The document is not read again before this time.

  bool failing_reported_ = false;
  bool stale_reported_ = false;
  std::string last_malformed_;
};

SourceReader::SourceReader(SourceSettings settings, Environment& environment,
                           PlatformClient& client, SourceSink& sink)
    : implementation_(std::make_shared<Implementation>(settings, environment, client, sink)) {}

SourceReader::~SourceReader() { implementation_->stop(); }

void SourceReader::setRole(bool source_reader) { implementation_->setRole(source_reader); }

void SourceReader::startBootstrap(Duration patience, PeersNeeded needed) {
  implementation_->startBootstrap(patience, std::move(needed));
}

void SourceReader::onPauseDetected() { implementation_->onPauseDetected(); }

void SourceReader::stop() { implementation_->stop(); }

void SourceReader::fetch(Version version, const FetchCallback& callback) {
  implementation_->fetch(version, callback);
}

bool SourceReader::reading() const { return implementation_->reading(); }

const SourceStatistics& SourceReader::statistics() const { return implementation_->statistics(); }

}  // namespace coursepond::source
