#pragma once

/// What a node knows from a watched source, as nodes tell it to one another while the source is
/// away.

#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "model/configuration.h"
#include "model/server_entry.h"

namespace coursepond::source {

struct SharedState {
  Generation revision;  ///< Of the source, up to which this is known.
  model::Configuration configuration;
  std::vector<model::ServerEntry> servers;
};

/// CBOR, and back (kMalformed with what is wrong). Secrets are no part of it.
std::string encodeSharedState(const SharedState& state);
Result<SharedState> decodeSharedState(std::string_view bytes);

}  // namespace coursepond::source
