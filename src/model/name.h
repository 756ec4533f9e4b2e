#pragma once

/// The rule for names: of nodes, servers, services, zones and other things in the model.

#include <string_view>

namespace coursepond::model {

/// Returns whether `text` has 1 to 253 letters, digits, '.', '_' or '-', and nothing else.
bool isName(std::string_view text);

}  // namespace coursepond::model
