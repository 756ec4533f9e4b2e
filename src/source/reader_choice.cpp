#include "source/reader_choice.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "membership/rank.h"

namespace coursepond::source {
namespace {

std::uint64_t readerRank(const NodeMachine& machine) {
  return membership::rankOf(membership::stableHash(machine.host), membership::kReaderSalt);
}

/// A machine and its position among the machines of its zone, by rank.
struct Candidate {
  std::size_t zone_index = 0;
  std::uint64_t rank = 0;
  const NodeMachine* machine = nullptr;
};

std::vector<Candidate> candidatesByRank(std::span<const NodeMachine> machines) {
  std::vector<Candidate> candidates;
  candidates.reserve(machines.size());
  for (const NodeMachine& machine : machines)
    candidates.push_back({0, readerRank(machine), &machine});
  const auto by_rank = [](const Candidate& left, const Candidate& right) {
    return std::tie(left.rank, left.machine->host) < std::tie(right.rank, right.machine->host);
  };
  std::sort(candidates.begin(), candidates.end(), by_rank);
  std::map<ZoneId, std::size_t> next_zone_index;
  for (Candidate& candidate : candidates)
    candidate.zone_index = next_zone_index[candidate.machine->zone]++;
  const auto by_zone_index = [](const Candidate& left, const Candidate& right) {
    return left.zone_index < right.zone_index;
  };
  std::stable_sort(candidates.begin(), candidates.end(), by_zone_index);
  return candidates;
}

/// Returns the number of parts of at most `size` that `whole` divides into.
std::size_t divideRoundingUp(std::size_t whole, std::size_t size) {
  return (whole + size - 1) / size;
}

/// Upper bound for the relays that a follower asks before it asks a reader.
constexpr std::size_t kMaxRelaysAsked = 4;

bool contains(const std::vector<NodeMachine>& machines, const NodeMachine& machine) {
  return std::find(machines.begin(), machines.end(), machine) != machines.end();
}

std::vector<std::vector<NodeMachine>> standbyGroups(std::span<const Candidate> successors,
                                                    std::size_t group_size, std::size_t count) {
  std::vector<std::vector<NodeMachine>> groups;
  const std::size_t last = std::min(successors.size(), group_size * count);
  for (std::size_t index = 0; index < last; ++index) {
    if (index % group_size == 0) groups.emplace_back();
    groups.back().push_back(*successors[index].machine);
  }
  return groups;
}

/// Appends the hosts that `hosts` does not contain yet.
void appendNew(std::vector<std::string>& hosts, const std::vector<std::string>& more) {
  for (const std::string& host : more) {
    if (std::find(hosts.begin(), hosts.end(), host) == hosts.end()) hosts.push_back(host);
  }
}

}  // namespace

std::vector<NodeMachine> MachineCollector::machines() const {
  std::vector<NodeMachine> machines;
  machines.reserve(zones_.size());
  for (const auto& [host, zone] : zones_) machines.push_back({host, zone});
  return machines;
}

std::string_view roleName(ReaderRole role) {
  switch (role) {
    case ReaderRole::kReader:
      return "reader";
    case ReaderRole::kRelay:
      return "relay";
    case ReaderRole::kFollower:
      return "follower";
  }
  return "unknown";
}

ReaderRole ReaderPlan::roleOf(const NodeMachine& machine) const {
  if (contains(readers, machine)) return ReaderRole::kReader;
  return contains(relays, machine) ? ReaderRole::kRelay : ReaderRole::kFollower;
}

bool ReaderPlan::isStandby(const NodeMachine& machine) const {
  return std::any_of(standby_groups.begin(), standby_groups.end(),
                     [&machine](const auto& group) { return contains(group, machine); });
}

const std::vector<NodeMachine>& ReaderPlan::parentsOf(ReaderRole role) const {
  return role == ReaderRole::kFollower && !relays.empty() ? relays : readers;
}

ReaderPlan planReaders(std::span<const NodeMachine> machines,
                       const ReaderChoiceSettings& settings) {
  const std::size_t per_reader = std::max<std::size_t>(settings.nodes_per_reader, 1);
  const std::size_t min_readers = std::min(machines.size(), settings.min_readers);
  const std::size_t needed = divideRoundingUp(machines.size(), per_reader);
  const bool has_relays = needed > min_readers;
  const std::size_t relays = has_relays ? needed : 0;
  const std::size_t readers = std::max(min_readers, divideRoundingUp(relays, per_reader));
  ReaderPlan plan;
  const std::vector<Candidate> candidates = candidatesByRank(machines);
  for (const Candidate& candidate : candidates) {
    if (plan.readers.size() < readers) {
      plan.readers.push_back(*candidate.machine);
    } else if (plan.relays.size() < relays) {
      plan.relays.push_back(*candidate.machine);
    }
  }
  plan.standby_groups = standbyGroups(std::span(candidates).subspan(plan.readers.size()),
                                      plan.readers.size(), settings.standby_groups);
  return plan;
}

std::vector<std::string> parentOrder(const NodeMachine& own, std::span<const NodeMachine> readers) {
  const std::uint64_t salt = membership::stableHash(own.host);
  std::vector<std::tuple<bool, std::uint64_t, std::string>> order;
  for (const NodeMachine& reader : readers) {
    if (reader.host == own.host) continue;
    order.emplace_back(reader.zone != own.zone,
                       membership::rankOf(membership::stableHash(reader.host), salt), reader.host);
  }
  std::sort(order.begin(), order.end());
  std::vector<std::string> hosts;
  hosts.reserve(order.size());
  for (auto& [is_remote, rank, host] : order) hosts.push_back(std::move(host));
  return hosts;
}

std::vector<std::string> pathOrder(const NodeMachine& own, const ReaderPlan& plan) {
  std::vector<std::string> hosts = parentOrder(own, plan.parentsOf(plan.roleOf(own)));
  const bool asks_relays = plan.roleOf(own) == ReaderRole::kFollower && !plan.relays.empty();
  if (asks_relays) hosts.resize(std::min(hosts.size(), kMaxRelaysAsked));
  appendNew(hosts, parentOrder(own, plan.readers));
  for (const std::vector<NodeMachine>& group : plan.standby_groups) {
    if (contains(group, own)) break;
    appendNew(hosts, parentOrder(own, group));
  }
  return hosts;
}

}  // namespace coursepond::source
