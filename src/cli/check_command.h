#pragma once

#include "cli/command.h"

namespace coursepond::cli {

/// `coursepond check`
Command checkCommand();

}  // namespace coursepond::cli
