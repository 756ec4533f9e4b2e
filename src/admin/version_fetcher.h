#pragma once

/// Makes a source reader, on this node or another one, read a version that is not staged yet.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "admin/admin_parts.h"

namespace coursepond::admin {

class VersionFetcher {
 public:
  VersionFetcher(const AdminParts& parts, const AdminSettings& settings);
  ~VersionFetcher();
  VersionFetcher(const VersionFetcher&) = delete;
  VersionFetcher& operator=(const VersionFetcher&) = delete;

  /// Reads the version (zero: the newest) on this node if it is a reader, or asks the readers.
  /// Calls `callback` once, within the fetch timeout, possibly before returning.
  void fetch(Version version, source::FetchCallback callback);

  void onRequest(const NodeId& from, const FetchRequest& request);
  void onAnswer(const NodeId& from, const FetchAnswer& answer);

 private:
  struct Fetch;

  /// Reads the version on this node. Concurrent requests for the same version share one read.
  void readLocally(Version version, source::FetchCallback callback);

  /// Returns the readers of this node's zone according to its view.
  std::set<NodeId> readersOfOwnZone() const;
  std::set<NodeId> relaysInOtherZones() const;
  void ask(Version version, const std::set<NodeId>& nodes, bool relay,
           source::FetchCallback callback);
  void finish(RequestNumber number, const source::FetchOutcome& outcome);

  const AdminParts& parts_;
  const AdminSettings& settings_;
  RequestNumber next_number_ = 1;
  std::map<RequestNumber, std::unique_ptr<Fetch>> running_;
  std::map<Version, std::vector<source::FetchCallback>> local_reads_;
};

}  // namespace coursepond::admin
