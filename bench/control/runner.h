#pragma once

#include <cstdint>

#include "figures.h"
#include "workload.h"

namespace coursepond::bench {

enum class SystemKind { kCoursepond, kPolling, kPushing };

/// Runs the whole workload on a virtual clock. The result depends only on the arguments.
Figures runWork(SystemKind way, const MeshShape& shape, const WorkPlan& plan, std::uint64_t seed);

}  // namespace coursepond::bench
