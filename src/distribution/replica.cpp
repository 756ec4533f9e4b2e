#include "distribution/replica.h"

#include <utility>

#include "distribution/replica_implementation.h"

namespace coursepond::distribution {

Replica::Replica(NodeId self, ZoneId zone, Settings settings, Environment& environment,
                 MessageSender<Message>& sender, ReplicaObserver& observer)
    : implementation_(std::make_unique<Implementation>(
          std::move(self), std::move(zone), std::move(settings), environment, sender, observer)) {}

Replica::~Replica() = default;

void Replica::start() { implementation_->start(); }

void Replica::onViewChanged(const membership::View& view, const membership::Roles& roles) {
  implementation_->onViewChanged(view, roles);
}

void Replica::onMessage(const NodeId& from, const Message& message) {
  implementation_->onMessage(from, message);
}

void Replica::onPauseDetected() { implementation_->onPauseDetected(); }

void Replica::stage(const model::ConfigurationDocument& document) {
  implementation_->stage(document);
}

void Replica::updateEndpoints(const std::vector<model::EndpointSet>& sets) {
  implementation_->updateEndpoints(sets);
}

const AcceptanceRecord& Replica::record() const { return implementation_->record(); }

bool Replica::offer(const AcceptanceRecord& record) { return implementation_->offer(record); }

std::shared_ptr<const model::Configuration> Replica::configurationInForce() const {
  return implementation_->configurationInForce();
}

std::shared_ptr<const model::Configuration> Replica::find(Version version) const {
  return implementation_->find(version);
}

Version Replica::newestStaged() const { return implementation_->newestStaged(); }

bool Replica::ready() const { return implementation_->ready(); }

std::vector<ProxyState> Replica::knownProxies() const { return implementation_->knownProxies(); }

const ReplicaStatistics& Replica::statistics() const { return implementation_->statistics(); }

}  // namespace coursepond::distribution
