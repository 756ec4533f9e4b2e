#pragma once

/// Reads the platform's list of machines:
///   {"generation": 12,
///    "nodes":    [{"id","zone","address","state"?: "live"|"leaving"}],
///    "backends": [{"id","service","zone","address","state"?}]}

#include <string_view>
#include <vector>

#include "core/error.h"
#include "model/document.h"
#include "model/endpoint.h"

namespace coursepond::model {

/// Returns all mistakes in the list. Empty if the list is valid.
std::vector<DocumentMistake> checkMachineList(std::string_view json);

/// Returns the complete list or its first mistake, never a part of it. Back ends are grouped into
/// one EndpointSet per service and zone, each with the list's generation; sets and endpoints are
/// sorted.
Result<MachineList> parseMachineList(std::string_view json);

}  // namespace coursepond::model
