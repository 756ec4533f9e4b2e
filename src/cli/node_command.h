#pragma once

#include "cli/command.h"
#include "node/node.h"

namespace coursepond::cli {

/// `coursepond node`. `extensions` are components that the program adds to those of the product.
Command nodeCommand(const node::Extensions& extensions = {});

}  // namespace coursepond::cli
