#include "source/silent_parents.h"

#include <algorithm>

namespace coursepond::source {

void SilentParents::add(const std::string& host, Duration avoid, const Error& error) {
  avoided_until_[host] = environment_.now() + avoid;
  for (const Listener& listener : listeners_) listener(host, error);
}

void SilentParents::retain(const std::vector<std::string>& hosts) {
  std::erase_if(avoided_until_, [&hosts](const auto& item) {
    return std::find(hosts.begin(), hosts.end(), item.first) == hosts.end();
  });
}

bool SilentParents::isAvoided(const std::string& host) const {
  const auto found = avoided_until_.find(host);
  return found != avoided_until_.end() && found->second > environment_.now();
}

}  // namespace coursepond::source
