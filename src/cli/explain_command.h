#pragma once

#include "cli/command.h"

namespace coursepond::cli {

/// `coursepond explain`
Command explainCommand();

}  // namespace coursepond::cli
