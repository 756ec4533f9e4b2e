#pragma once

/// Stores the endpoint sets of a node, one per service and zone. The newest generation wins.

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "distribution/messages.h"
#include "distribution/peers.h"
#include "model/endpoint.h"

namespace coursepond::distribution {

enum class EndpointOutcome {
  kApplied,
  kStale,        ///< The store already has this generation or a newer one.
  kBaseMissing,  ///< The change is based on a generation that is not held.
  kOutdated,     ///< A newer machine list read by this node contradicts it: call reissue().
};

class EndpointStore {
 public:
  EndpointOutcome apply(const EndpointChange& change);

  /// Applies a complete machine list read by this node and returns the resulting changes. A set
  /// whose servers are unchanged keeps its generation, so that only differences are sent to other
  /// nodes. A set that is held but not listed becomes empty.
  std::vector<EndpointChange> updateFromList(const std::vector<model::EndpointSet>& sets);

  /// Called after kOutdated. Gives the held set the generation of the machine list that confirmed
  /// it, and returns it as a change.
  EndpointChange reissue(const EndpointKey& key);

  /// Returns the full set as a change without a base, or nothing if the key is not held.
  std::optional<EndpointChange> fullSet(const EndpointKey& key) const;
  const model::EndpointSet* find(const EndpointKey& key) const;

  /// Returns true the first time it is called for this generation of the key and this `spread`, so
  /// that each generation is forwarded once in each mode.
  bool markSpreadUsed(const EndpointKey& key, Generation generation, ForwardMode spread);

  /// Checksum over all keys and generations; equal on nodes that hold the same generations.
  std::uint64_t checksum() const;
  const std::array<std::uint64_t, kEndpointBuckets>& buckets() const { return buckets_; }
  std::vector<EndpointGeneration> generationsIn(const std::vector<std::uint8_t>& buckets) const;
  static std::uint8_t bucketOf(const EndpointKey& key);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    model::EndpointSet set;
    Generation confirmed;  ///< Of the last machine list read by this node that had these servers.
    Generation spread_generation;  ///< The generation that `spread` refers to.
    SpreadProgress spread;
  };

  void replace(const EndpointKey& key, Entry& entry, model::EndpointSet set);

  std::map<EndpointKey, Entry> entries_;
  std::array<std::uint64_t, kEndpointBuckets> buckets_{};
};

}  // namespace coursepond::distribution
