#include "source/silent_parents.h"

#include <algorithm>

namespace coursepond::source {
namespace {

void retainKeys(std::map<std::string, TimePoint>& times, const std::vector<std::string>& hosts) {
  std::erase_if(times, [&hosts](const auto& item) {
    return std::find(hosts.begin(), hosts.end(), item.first) == hosts.end();
  });
}

}  // namespace

void SilentParents::add(const std::string& host, TimePoint asked, Duration avoid,
                        const Error& error) {
  const auto last_answer = last_answers_.find(host);
  if (last_answer != last_answers_.end() && last_answer->second > asked) return;
  avoided_until_[host] = environment_.now() + avoid;
  for (const Listener& listener : listeners_) listener(host, error);
}

void SilentParents::remove(const std::string& host) {
  avoided_until_.erase(host);
  last_answers_[host] = environment_.now();
}

void SilentParents::retain(const std::vector<std::string>& hosts) {
  retainKeys(avoided_until_, hosts);
  retainKeys(last_answers_, hosts);
}

bool SilentParents::isAvoided(const std::string& host) const {
  const auto found = avoided_until_.find(host);
  return found != avoided_until_.end() && found->second > environment_.now();
}

}  // namespace coursepond::source
