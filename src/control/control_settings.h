#pragma once

#include <vector>

#include "admin/admin_settings.h"
#include "core/ids.h"
#include "distribution/acceptance_messages.h"
#include "distribution/settings.h"
#include "membership/settings.h"
#include "model/endpoint.h"
#include "source/source_settings.h"

namespace coursepond::control {

/// Settings of all components of the control plane.
struct ControlSettings {
  membership::Settings membership;
  distribution::Settings distribution;
  distribution::AcceptanceSettings acceptance;
  source::SourceSettings source;
  admin::AdminSettings admin;
  /// Peers to join through before the platform is asked for peers.
  std::vector<model::ListedNode> seeds;
  /// Zones of the mesh. They count towards the majority even if nothing was ever received from
  /// them, so that a node that starts in the minority of a partition does not mistake its side for
  /// the whole mesh.
  std::vector<ZoneId> zones;
};

}  // namespace coursepond::control
