#pragma once

/// Internal to src/model: converts routes, services, tenants, limits and secret descriptors to and
/// from JSON. Platform documents, the canonical text and deltas use the same JSON schema.

#include <boost/json/fwd.hpp>
#include <boost/json/storage_ptr.hpp>
#include <string_view>
#include <vector>

#include "model/configuration.h"
#include "model/json_reader.h"

namespace coursepond::model {

// These functions allocate from `storage` and write keys in alphabetical order, because digests
// depend on the exact text.
boost::json::value routeToJson(const Route& route, const boost::json::storage_ptr& storage);
boost::json::value serviceToJson(const Service& service, const boost::json::storage_ptr& storage);
boost::json::value tenantToJson(const Tenant& tenant, const boost::json::storage_ptr& storage);
boost::json::value limitsToJson(const CallerLimits& limits,
                                const boost::json::storage_ptr& storage);
boost::json::value descriptorToJson(const SecretDescriptor& descriptor,
                                    const boost::json::storage_ptr& storage);

Route readRoute(ObjectReader& reader);
Service readService(ObjectReader& reader);
Tenant readTenant(ObjectReader& reader);
CallerLimits readLimits(ObjectReader& reader);
SecretDescriptor readDescriptor(ObjectReader& reader);

}  // namespace coursepond::model
