#pragma once

#include <string>

#include "cli/api_documents.h"
#include "cli/command.h"

namespace coursepond::cli {

/// `coursepond plan`
Command planCommand();

/// Formats the plan as text: the changes, the affected zones, and the command to run next.
std::string renderPlan(const PlanDocument& plan, const std::string& node);

}  // namespace coursepond::cli
