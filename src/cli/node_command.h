#pragma once

#include "cli/command.h"
#include "node/node.h"

namespace coursepond::cli {

/// `coursepond node`. `extensions`: what the program brings beyond the product's own parts.
Command nodeCommand(const node::Extensions& extensions = {});

}  // namespace coursepond::cli
