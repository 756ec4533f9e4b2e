#include "mesh.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <variant>

#include "model/document.h"

namespace coursepond::distribution::testing {
namespace {

constexpr Duration kViewDelay = std::chrono::milliseconds(1500);
constexpr Duration kPollInterval = std::chrono::seconds(1);
constexpr Duration kOwnZoneLatency = std::chrono::microseconds(200);
constexpr Duration kOtherZoneLatency = std::chrono::microseconds(1500);
constexpr std::uint64_t kVersionsPerSecretValue = 10;

std::string padded(std::size_t number) {
  std::string text = std::to_string(number);
  return std::string(3 - std::min<std::size_t>(3, text.size()), '0') + text;
}

void addSecret(model::ConfigurationDocument& document, const SecretName& name,
               const std::string& value) {
  const model::SecretValue secret(value);
  document.configuration.secrets[name] = {name, model::digestOfSecret(name, secret)};
  document.secret_values[name] = secret;
}

model::Route makeRoute(const std::string& name, const std::string& service) {
  model::Route route;
  route.name = RouteName(name);
  route.match.host = name + ".example";
  route.service = ServiceName(service);
  return route;
}

}  // namespace

SecretName zoneSecret(const ZoneId& zone) { return SecretName("secret-" + zone.value()); }

model::ConfigurationDocument makeDocument(std::uint64_t version, const DocumentShape& shape) {
  model::ConfigurationDocument document;
  model::Configuration& configuration = document.configuration;
  configuration.version = Version(version);
  for (const char* name : {"catalogue", "licensing", "fonts"}) {
    configuration.services[ServiceName(name)].name = ServiceName(name);
  }
  for (std::size_t i = 0; i < shape.routes; ++i) {
    model::Route route = makeRoute("route-" + padded(i), "fonts");
    if (i == version % shape.routes) route.timeout += std::chrono::milliseconds(version);
    configuration.routes[route.name] = route;
  }
  for (const ZoneId& zone : shape.zones) {
    model::Route route = makeRoute("only-" + zone.value(), "licensing");
    route.zones = {zone};
    route.secrets = {{zoneSecret(zone), "Authorization"}};
    configuration.routes[route.name] = route;
    addSecret(document, zoneSecret(zone),
              "value-" + zone.value() + "-" + std::to_string(version / kVersionsPerSecretValue));
  }
  return document;
}

Process::Process(Mesh& owner, NodeId node_id, ZoneId node_zone, std::uint64_t seed)
    : mesh(owner),
      id(std::move(node_id)),
      zone(std::move(node_zone)),
      environment(owner.time, seed),
      replica(id, zone, owner.settings, environment, *this, *this) {}

void Process::onSnapshot(model::SnapshotPointer next) {
  if (snapshot) {
    // A process must never return to an older version.
    CHECK(next->version > snapshot->version);
  }
  mesh.checkSnapshot(*this, *next);
  snapshot = std::move(next);
  in_force_since = mesh.time.now();
}

void Process::onEndpoints(const model::EndpointSet& set) {
  model::EndpointSet& held = endpoints[{set.service, set.zone}];
  CHECK(set.generation > held.generation);
  held = set;
}

void Process::onRejected(const Error& error) { rejected.push_back(error.kind); }

void Process::onDocumentNeeded(Version version) { mesh.readDocument(id, version); }

void Process::send(const NodeId& to, const Message& message) {
  const std::string bytes = encodeMessage(message);
  bytes_sent += bytes.size();
  const bool full = std::holds_alternative<ContentFull>(message);
  if (full) ++full_contents_sent;
  const bool cross_zone = to.value().substr(0, 2) != id.value().substr(0, 2);
  if (cross_zone && (full || std::holds_alternative<ContentDelta>(message))) ++cross_zone_contents;
  const Result<Message> decoded = decodeMessage(bytes);
  REQUIRE(decoded.has_value());
  mesh.deliver(id, to, *decoded);
}

Mesh::Mesh(std::size_t zones, std::size_t nodes_per_zone, std::uint64_t seed, Settings given)
    : settings(std::move(given)), engine_(seed) {
  for (std::size_t zone = 0; zone < zones; ++zone) {
    const ZoneId zone_id("z" + std::to_string(zone));
    shape.zones.push_back(zone_id);
    for (std::size_t node = 0; node < nodes_per_zone; ++node) {
      machines_[NodeId(zone_id.value() + "-" + padded(node))] = Machine{zone_id, true};
    }
  }
  settings.zones = shape.zones;
  for (const auto& [id, machine] : machines_) start(id);
  updateViews();
  pollPlatform();
}

void Mesh::publish(std::uint64_t version) {
  published[version] = makeDocument(version, shape);
  digests[version] = model::contentDigest(published[version].configuration);
  newest_published_ = version;
}

void Mesh::publishMachines(std::vector<model::EndpointSet> sets) {
  ++machine_generation_;
  for (model::EndpointSet& set : sets) set.generation = Generation(machine_generation_);
  machine_list_ = std::move(sets);
}

AcceptanceRecord Mesh::recordOf(std::uint64_t version) const {
  return {Version(version), digests.at(version), Version()};
}

void Mesh::accept(std::uint64_t version, const NodeId& from) {
  const AcceptanceRecord record = recordOf(version);
  for (const ZoneId& zone : shape.zones) {
    const membership::View view = viewOf(from);
    for (const membership::Member& voter : membership::votersOf(view, zone)) {
      if (!processes.contains(voter.id) || !connected(from, voter.id)) continue;
      const NodeId id = voter.id;
      time.schedule(kOtherZoneLatency, [this, id, record] {
        if (processes.contains(id)) process(id).replica.offer(record);
      });
    }
  }
}

void Mesh::kill(const NodeId& id) {
  machines_.at(id).alive = false;
  processes.erase(id);
  scheduleViews();
}

void Mesh::restart(const NodeId& id) {
  processes.erase(id);
  machines_.at(id).alive = true;
  start(id);
  const membership::View view = viewOf(id);
  process(id).replica.onViewChanged(view, membership::computeRoles(view));
  scheduleViews();
}

void Mesh::pause(const NodeId& id, Duration duration) {
  if (!processes.contains(id)) return;
  Process* paused = &process(id);
  const TimePoint end = time.now() + duration;
  paused->environment.pauseUntil(std::max(end, paused->environment.pausedUntil()));
  time.schedule(duration, [this, id, paused, end] {
    const bool same_process = processes.contains(id) && &process(id) == paused;
    if (same_process && paused->environment.pausedUntil() == end) paused->replica.onPauseDetected();
  });
}

void Mesh::cut(const ZoneId& zone, bool is_cut) {
  if (is_cut) {
    cut_zones_.insert(zone);
  } else {
    cut_zones_.erase(zone);
  }
  scheduleViews();
}

std::vector<NodeId> Mesh::ids() const {
  std::vector<NodeId> ids;
  for (const auto& [id, machine] : machines_) ids.push_back(id);
  return ids;
}

std::vector<Process*> Mesh::living() {
  std::vector<Process*> living;
  for (auto& [id, process] : processes) living.push_back(process.get());
  return living;
}

std::vector<NodeId> Mesh::readers() {
  std::vector<NodeId> readers;
  for (const auto& [id, process] : processes) {
    if (membership::computeRoles(viewOf(id)).source_reader) readers.push_back(id);
  }
  return readers;
}

std::vector<NodeId> Mesh::distributors(const ZoneId& zone) {
  std::vector<NodeId> distributors;
  for (const auto& [id, process] : processes) {
    const bool holds_role = membership::computeRoles(viewOf(id)).zone_distributor;
    if (process->zone == zone && holds_role) distributors.push_back(id);
  }
  return distributors;
}

bool Mesh::allInForce(std::uint64_t version) {
  return std::all_of(processes.begin(), processes.end(), [version](const auto& entry) {
    return entry.second->snapshot && entry.second->snapshot->version == Version(version);
  });
}

std::uint64_t Mesh::bytesSent() const {
  std::uint64_t bytes = 0;
  for (const auto& [id, process] : processes) bytes += process->bytes_sent;
  return bytes;
}

std::uint64_t Mesh::adoptions() const {
  std::uint64_t adoptions = 0;
  for (const auto& [id, process] : processes) {
    adoptions += process->replica.statistics().adopted_after_loss;
  }
  return adoptions;
}

void Mesh::deliver(const NodeId& from, const NodeId& to, const Message& message) {
  if (const auto* delivery = std::get_if<SecretDelivery>(&message)) {
    checkSecretDelivery(to, *delivery);
  }
  std::uniform_real_distribution<double> chance(0, 1);
  if (chance(engine_) < faults.loss) return;
  const int copies = chance(engine_) < faults.duplication ? 2 : 1;
  const bool same_zone = machines_.at(from).zone == machines_.at(to).zone;
  for (int copy = 0; copy < copies; ++copy) {
    Duration delay = same_zone ? kOwnZoneLatency : kOtherZoneLatency;
    delay += Duration(static_cast<std::int64_t>(engine_() % (faults.jitter.count() + 1)));
    if (processes.contains(to)) {
      const TimePoint paused_until = process(to).environment.pausedUntil();
      delay = std::max(delay, paused_until - time.now() + Duration(1));
    }
    time.schedule(delay, [this, from, to, message] {
      if (!processes.contains(to) || !connected(from, to)) return;
      process(to).replica.onMessage(from, message);
    });
  }
}

void Mesh::checkSnapshot(const Process& process, const model::Snapshot& snapshot) {
  // The snapshot must be complete and identical to what was published as this version.
  REQUIRE(published.contains(snapshot.version.value()));
  const model::ConfigurationDocument& document = published.at(snapshot.version.value());
  CHECK(snapshot.digest == digests.at(snapshot.version.value()));
  for (const model::Route& route : snapshot.routes) {
    CHECK(snapshot.services.contains(route.service));
    for (const model::SecretUse& use : route.secrets) {
      REQUIRE(snapshot.secrets.contains(use.secret));
      CHECK(snapshot.secrets.at(use.secret) == document.secret_values.at(use.secret));
    }
  }
  Version& greatest = greatest_held[process.id];
  if (snapshot.version < greatest) ++regressions_across_restarts;
  greatest = std::max(greatest, snapshot.version);
}

void Mesh::readDocument(const NodeId& reader, Version version) {
  if (!platform_readable || !published.contains(version.value())) return;
  ++documents_read;
  time.schedule(std::chrono::milliseconds(5), [this, reader, version] {
    if (processes.contains(reader)) {
      process(reader).replica.stage(published.at(version.value()));
    }
  });
}

void Mesh::start(const NodeId& id) {
  processes[id] = std::make_unique<Process>(*this, id, machines_.at(id).zone, engine_());
  machines_read_.erase(id);
  process(id).replica.start();
}

void Mesh::scheduleViews() {
  time.schedule(kViewDelay, [this] { updateViews(); });
}

void Mesh::updateViews() {
  for (auto& [id, process] : processes) {
    const membership::View view = viewOf(id);
    process->replica.onViewChanged(view, membership::computeRoles(view));
  }
}

membership::View Mesh::viewOf(const NodeId& id) const {
  membership::View view;
  view.self = id;
  view.own_zone = machines_.at(id).zone;
  for (const ZoneId& zone : shape.zones) {
    membership::ZoneView& seen = view.zones[zone];
    seen.zone = zone;
    const bool is_cut = cut_zones_.contains(zone) || cut_zones_.contains(view.own_zone);
    seen.reachable = zone == view.own_zone || !is_cut;
    for (const auto& [other, machine] : machines_) {
      if (machine.zone != zone || !machine.alive) continue;
      membership::Member member;
      member.id = other;
      member.zone = zone;
      seen.members.push_back(member);
    }
    seen.node_count = seen.members.size();
    seen.reachable = seen.reachable && !seen.members.empty();
    if (zone == view.own_zone) continue;
    // Of other zones, the view contains only a few contacts: the members with roles.
    std::set<NodeId> contacts;
    for (const auto& member : membership::distributorsOf(view, zone)) contacts.insert(member.id);
    for (const auto& member : membership::votersOf(view, zone)) contacts.insert(member.id);
    std::erase_if(seen.members, [&contacts](const membership::Member& member) {
      return !contacts.contains(member.id);
    });
  }
  return view;
}

void Mesh::pollPlatform() {
  time.schedule(kPollInterval, [this] { pollPlatform(); });
  if (!platform_readable) return;
  for (const NodeId& id : readers()) {
    Process& reader = process(id);
    if (reader.environment.pausedUntil() > time.now()) continue;
    const bool unknown = newest_published_ != 0 &&
                         Version(newest_published_) >= reader.replica.record().version &&
                         !reader.replica.find(Version(newest_published_));
    if (unknown) readDocument(id, Version(newest_published_));
    if (machines_read_[id] != machine_generation_) {
      machines_read_[id] = machine_generation_;
      reader.replica.updateEndpoints(machine_list_);
    }
  }
}

bool Mesh::connected(const NodeId& a, const NodeId& b) const {
  const ZoneId& zone_a = machines_.at(a).zone;
  const ZoneId& zone_b = machines_.at(b).zone;
  return zone_a == zone_b || (!cut_zones_.contains(zone_a) && !cut_zones_.contains(zone_b));
}

void Mesh::checkSecretDelivery(const NodeId& to, const SecretDelivery& delivery) {
  const ZoneId& zone = machines_.at(to).zone;
  for (const auto& [name, value] : delivery.values) {
    const std::string prefix = name.value().substr(0, zoneSecret(zone).value().size());
    CHECK((several_secrets ? prefix : name.value()) == zoneSecret(zone).value());
  }
}

}  // namespace coursepond::distribution::testing
