#pragma once

#include "cli/command.h"

namespace coursepond::cli {

/// `coursepond version`
Command versionCommand();

}  // namespace coursepond::cli
