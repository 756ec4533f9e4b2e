#pragma once

/// Implements AdminApi for a node: checks the token, dispatches to the resource, and answers.

#include <cstdint>
#include <string>

#include "admin/admin_api.h"
#include "admin/admin_parts.h"
#include "admin/admin_settings.h"
#include "admin/plan_service.h"
#include "admin/proxy_directory.h"
#include "admin/version_fetcher.h"

namespace coursepond::admin {

/// Counters for /metrics and the simulator. Never reset.
struct AdminStatistics {
  std::uint64_t requests = 0;
  std::uint64_t unauthorized = 0;
  std::uint64_t overloaded = 0;
};

class OperatorApi final : public AdminApi {
 public:
  OperatorApi(AdminParts parts, AdminSettings settings);

  void handle(const AdminRequest& request, AdminCallback callback) override;

  /// Handles requests and answers of other nodes' operator APIs.
  void onMessage(const NodeId& from, const Message& message);

  const AdminStatistics& statistics() const { return statistics_; }
  const PlanStatistics& planStatistics() const { return plans_.statistics(); }

 private:
  bool authorized(const AdminRequest& request) const;
  void dispatch(const AdminRequest& request, const AdminCallback& callback);
  void makePlan(const AdminRequest& request, const AdminCallback& callback);
  void onPlanPath(const AdminRequest& request, const AdminCallback& callback);
  void showPlan(const std::string& id, const AdminCallback& callback);
  void confirmPlan(const std::string& id, const AdminCallback& callback);
  void showStatus(const AdminCallback& callback);
  void showProxies(const AdminCallback& callback);

  AdminParts parts_;
  AdminSettings settings_;
  AdminStatistics statistics_;
  std::size_t running_ = 0;
  ProxyDirectory proxies_;
  VersionFetcher fetcher_;
  PlanService plans_;
};

}  // namespace coursepond::admin
