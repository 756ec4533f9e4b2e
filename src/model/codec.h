#pragma once

/// Internal to src/model: routes, services and secret descriptors as JSON. The shape is the same in
/// the platform's documents, in the canonical text and in deltas.

#include <boost/json/fwd.hpp>
#include <boost/json/storage_ptr.hpp>
#include <string_view>
#include <vector>

#include "model/configuration.h"
#include "model/json_reader.h"

namespace coursepond::model {

// Each is written in the memory of `storage`, with its keys in alphabetical order: digests depend
// on the text.
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
