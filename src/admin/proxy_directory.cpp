#include "admin/proxy_directory.h"

#include <utility>

namespace coursepond::admin {

using distribution::ProxyState;

/// A pending collection of proxy states.
struct ProxyDirectory::Gathering {
  CensusCallback callback;
  TimerId timer = 0;
  std::map<NodeId, ZoneId> waiting;  ///< Distributors that have not answered yet.
  std::set<ZoneId> answered;
  std::set<ZoneId> all_zones;
  std::map<NodeId, ProxyState> proxies;

  /// Keeps the newer of two states of the same proxy. Versions never decrease, so the state with
  /// the higher versions is the newer one.
  void add(const ProxyState& state) {
    const auto [found, inserted] = proxies.emplace(state.node, state);
    const auto age = [](const ProxyState& proxy) {
      return std::tie(proxy.in_force, proxy.accepted, proxy.staged);
    };
    if (!inserted && age(found->second) < age(state)) {
      found->second = state;
    }
  }

  ProxyCensus census() const {
    ProxyCensus census;
    for (const auto& [id, state] : proxies) {
      census.proxies.push_back(state);
    }
    census.answered = answered;
    for (const ZoneId& zone : all_zones) {
      if (!answered.contains(zone)) {
        census.missing.insert(zone);
      }
    }
    return census;
  }
};

ProxyDirectory::ProxyDirectory(const AdminParts& parts, const AdminSettings& settings)
    : parts_(parts), settings_(settings) {}

ProxyDirectory::~ProxyDirectory() {
  for (const auto& [number, gathering] : running_) {
    parts_.environment.cancel(gathering->timer);
  }
}

void ProxyDirectory::gather(CensusCallback callback) {
  const RequestNumber number = next_number_++;
  const membership::View view = parts_.view();
  auto gathering = std::make_unique<Gathering>();
  gathering->callback = std::move(callback);
  addOwnState(*gathering);
  for (const auto& [zone, seen] : view.zones) {
    gathering->all_zones.insert(zone);
    if (zone == parts_.zone || seen.reachable) {
      ask(view, zone, *gathering, number);
    }
  }
  const bool complete = gathering->waiting.empty();
  gathering->timer =
      parts_.environment.schedule(settings_.gather_timeout, [this, number] { finish(number); });
  running_.emplace(number, std::move(gathering));
  if (complete) {
    finish(number);
  }
}

bool ProxyDirectory::ask(const membership::View& view, const ZoneId& zone, Gathering& gathering,
                         RequestNumber number) {
  const auto distributors = membership::distributorsOf(view, zone);
  for (const membership::Member& distributor : distributors) {
    if (distributor.id == parts_.self) {
      gathering.answered.insert(zone);
      continue;
    }
    gathering.waiting.emplace(distributor.id, zone);
    parts_.sender.send(distributor.id, ProxyStatesRequest{number});
  }
  return !distributors.empty();
}

void ProxyDirectory::addOwnState(Gathering& gathering) const {
  for (const ProxyState& state : parts_.replica.knownProxies()) {
    gathering.add(state);
  }
}

void ProxyDirectory::onRequest(const NodeId& from, const ProxyStatesRequest& request) {
  parts_.sender.send(from, ProxyStatesAnswer{request.number, parts_.replica.knownProxies()});
}

void ProxyDirectory::onAnswer(const NodeId& from, const ProxyStatesAnswer& answer) {
  const auto found = running_.find(answer.number);
  if (found == running_.end()) {
    return;
  }
  Gathering& gathering = *found->second;
  const auto waiting = gathering.waiting.find(from);
  if (waiting == gathering.waiting.end()) {
    return;
  }
  gathering.answered.insert(waiting->second);
  gathering.waiting.erase(waiting);
  for (const ProxyState& state : answer.proxies) {
    gathering.add(state);
  }
  if (gathering.waiting.empty()) {
    finish(answer.number);
  }
}

void ProxyDirectory::finish(RequestNumber number) {
  auto finished = running_.extract(number);
  if (finished.empty()) {
    return;
  }
  parts_.environment.cancel(finished.mapped()->timer);
  finished.mapped()->callback(finished.mapped()->census());
}

}  // namespace coursepond::admin
