#include "admin/version_fetcher.h"

#include <utility>

namespace coursepond::admin {
namespace {

using source::FetchCallback;
using source::FetchOutcome;

/// Upper bound for concurrent fetches on one node. Further ones are refused, so that a flood of
/// requests does not become a flood of reads.
constexpr std::size_t kFetchLimit = 8;

FetchOutcome failure(ErrorKind kind, std::string message, std::string remedy) {
  FetchOutcome outcome;
  outcome.mistakes.push_back(
      model::DocumentMistake{"", Error{kind, std::move(message), std::move(remedy)}});
  return outcome;
}

FetchOutcome noReader() {
  return failure(ErrorKind::kUnavailable, "no source reader can be reached from this node",
                 "try again in a few seconds, or at a node of another zone");
}

FetchOutcome tooMany() {
  return failure(ErrorKind::kOverloaded, "too many versions are already being read",
                 "try again in a few seconds");
}

/// Whether the outcome comes from the platform, and not from a node that could not reach it.
bool isAnswerOfPlatform(const FetchOutcome& outcome) {
  return outcome.mistakes.empty() || outcome.mistakes.front().error.kind != ErrorKind::kUnavailable;
}

}  // namespace

/// A pending request to other nodes.
struct VersionFetcher::Fetch {
  FetchCallback callback;
  TimerId timer = 0;
  std::set<NodeId> waiting;
};

VersionFetcher::VersionFetcher(const AdminParts& parts, const AdminSettings& settings)
    : parts_(parts), settings_(settings) {}

VersionFetcher::~VersionFetcher() {
  for (const auto& [number, fetch] : running_) {
    parts_.environment.cancel(fetch->timer);
  }
}

void VersionFetcher::fetch(Version version, FetchCallback callback) {
  if (parts_.reader.reading()) {
    readLocally(version, std::move(callback));
    return;
  }
  const std::set<NodeId> readers = readersOfOwnZone();
  if (!readers.empty()) {
    ask(version, readers, false, std::move(callback));
  } else {
    ask(version, relaysInOtherZones(), true, std::move(callback));
  }
}

void VersionFetcher::readLocally(Version version, FetchCallback callback) {
  const auto running = local_reads_.find(version);
  if (running != local_reads_.end()) {
    running->second.push_back(std::move(callback));
    return;
  }
  if (local_reads_.size() >= kFetchLimit) {
    callback(tooMany());
    return;
  }
  local_reads_[version].push_back(std::move(callback));
  parts_.reader.fetch(version, [this, version](const FetchOutcome& outcome) {
    const auto finished = local_reads_.extract(version);
    for (const FetchCallback& waiting : finished.mapped()) {
      waiting(outcome);
    }
  });
}

std::set<NodeId> VersionFetcher::readersOfOwnZone() const {
  std::set<NodeId> readers;
  membership::View view = parts_.view();
  const membership::ZoneView* zone = view.zone(parts_.zone);
  if (zone == nullptr) {
    return readers;
  }
  for (const membership::Member& member : std::vector(zone->members)) {
    view.self = member.id;
    if (member.id != parts_.self && membership::computeRoles(view).source_reader) {
      readers.insert(member.id);
    }
  }
  return readers;
}

std::set<NodeId> VersionFetcher::relaysInOtherZones() const {
  std::set<NodeId> relays;
  const membership::View view = parts_.view();
  for (const auto& [zone, seen] : view.zones) {
    if (zone == parts_.zone || !seen.reachable) {
      continue;
    }
    for (const membership::Member& relay : membership::distributorsOf(view, zone)) {
      relays.insert(relay.id);
    }
  }
  return relays;
}

void VersionFetcher::ask(Version version, const std::set<NodeId>& nodes, bool relay,
                         FetchCallback callback) {
  if (nodes.empty() || running_.size() >= kFetchLimit) {
    callback(nodes.empty() ? noReader() : tooMany());
    return;
  }
  const RequestNumber number = next_number_++;
  auto fetch = std::make_unique<Fetch>();
  fetch->callback = std::move(callback);
  fetch->waiting = nodes;
  fetch->timer = parts_.environment.schedule(settings_.fetch_timeout, [this, number] {
    finish(number, failure(ErrorKind::kTimeout, "no source reader answered in time",
                           "check the platform's state in GET /v1/status, then try again"));
  });
  running_.emplace(number, std::move(fetch));
  for (const NodeId& node : nodes) {
    parts_.sender.send(node, FetchRequest{number, version, relay});
  }
}

void VersionFetcher::onRequest(const NodeId& from, const FetchRequest& request) {
  const auto answer = [this, from, number = request.number](const FetchOutcome& outcome) {
    parts_.sender.send(from, FetchAnswer{number, outcome.version, outcome.mistakes});
  };
  if (parts_.reader.reading()) {
    readLocally(request.version, answer);
  } else if (request.relay) {
    const std::set<NodeId> readers = readersOfOwnZone();
    ask(request.version, readers, false, answer);
  } else {
    answer(noReader());
  }
}

void VersionFetcher::onAnswer(const NodeId& from, const FetchAnswer& answer) {
  const auto found = running_.find(answer.number);
  if (found == running_.end() || found->second->waiting.erase(from) == 0) {
    return;
  }
  const FetchOutcome outcome{answer.version, answer.mistakes};
  if (isAnswerOfPlatform(outcome) || found->second->waiting.empty()) {
    finish(answer.number, outcome);
  }
}

void VersionFetcher::finish(RequestNumber number, const FetchOutcome& outcome) {
  auto finished = running_.extract(number);
  if (finished.empty()) {
    return;
  }
  parts_.environment.cancel(finished.mapped()->timer);
  finished.mapped()->callback(outcome);
}

}  // namespace coursepond::admin
