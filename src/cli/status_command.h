#pragma once

#include <string>

#include "cli/api_documents.h"
#include "cli/command.h"

namespace coursepond::cli {

/// `coursepond status`
Command statusCommand();
/// `coursepond proxies`
Command proxiesCommand();

std::string renderStatus(const StatusDocument& status);
std::string renderProxies(const ProxiesDocument& proxies);

}  // namespace coursepond::cli
