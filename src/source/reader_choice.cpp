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

/// A machine and how many of its own zone go before it.
struct Candidate {
  std::size_t turn = 0;
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
  std::map<ZoneId, std::size_t> turns;
  for (Candidate& candidate : candidates) candidate.turn = turns[candidate.machine->zone]++;
  const auto by_turn = [](const Candidate& left, const Candidate& right) {
    return left.turn < right.turn;
  };
  std::stable_sort(candidates.begin(), candidates.end(), by_turn);
  return candidates;
}

}  // namespace

std::vector<NodeMachine> chooseReaders(std::span<const NodeMachine> machines,
                                       const ReaderChoiceSettings& settings) {
  const std::size_t per_reader = std::max<std::size_t>(settings.nodes_per_reader, 1);
  const std::size_t needed = (machines.size() + per_reader - 1) / per_reader;
  const std::size_t count = std::min(machines.size(), std::max(needed, settings.least_readers));
  std::vector<NodeMachine> readers;
  for (const Candidate& candidate : candidatesByRank(machines)) {
    if (readers.size() == count) break;
    readers.push_back(*candidate.machine);
  }
  return readers;
}

std::vector<std::string> askingOrder(const NodeMachine& own, std::span<const NodeMachine> readers) {
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

}  // namespace coursepond::source
