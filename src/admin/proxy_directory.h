#pragma once

/// Collects the states of the proxies of all zones from the zones' distributors.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "admin/admin_parts.h"

namespace coursepond::admin {

/// Known states of all proxies at one point in time.
struct ProxyCensus {
  std::vector<distribution::ProxyState> proxies;  ///< Sorted by node, one entry per node.
  std::set<ZoneId> answered;                      ///< Zones whose distributors answered.
  std::set<ZoneId> missing;                       ///< Zones that are unreachable or did not answer.
};

using CensusCallback = std::function<void(ProxyCensus)>;

class ProxyDirectory {
 public:
  ProxyDirectory(const AdminParts& parts, const AdminSettings& settings);
  ~ProxyDirectory();
  ProxyDirectory(const ProxyDirectory&) = delete;
  ProxyDirectory& operator=(const ProxyDirectory&) = delete;

  /// Sends requests to the distributors of every reachable zone. Calls `callback` once, within the
  /// gather timeout, possibly before returning.
  void gather(CensusCallback callback);

  void onRequest(const NodeId& from, const ProxyStatesRequest& request);
  void onAnswer(const NodeId& from, const ProxyStatesAnswer& answer);

 private:
  struct Gathering;

  /// Sends requests to the zone's distributors. Returns false if none is known.
  bool ask(const membership::View& view, const ZoneId& zone, Gathering& gathering,
           RequestNumber number);
  void addOwnState(Gathering& gathering) const;
  void finish(RequestNumber number);

  const AdminParts& parts_;
  const AdminSettings& settings_;
  RequestNumber next_number_ = 1;
  std::map<RequestNumber, std::unique_ptr<Gathering>> running_;
};

}  // namespace coursepond::admin
