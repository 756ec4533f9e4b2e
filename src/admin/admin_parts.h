#pragma once

#include <functional>

#include "admin/admin_settings.h"
#include "admin/messages.h"
#include "core/environment.h"
#include "core/ids.h"
#include "distribution/acceptance.h"
#include "distribution/replica.h"
#include "membership/view.h"
#include "source/source_reader.h"

namespace coursepond::admin {

/// The components used by the operator API. They belong to the node's control plane and outlive the
/// API.
struct AdminParts {
  NodeId self;
  ZoneId zone;
  Environment& environment;
  MessageSender<Message>& sender;
  distribution::Replica& replica;
  distribution::AcceptanceCoordinator& coordinator;
  source::SourceReader& reader;
  /// Returns this node's view of the mesh, including unreachable zones.
  std::function<membership::View()> view;
  std::function<membership::Roles()> roles;
  /// Called with the outcome of each confirmation.
  std::function<void(const PlanId&, const Result<distribution::AcceptanceRecord>&)> on_outcome;
};

}  // namespace coursepond::admin
