#pragma once

/// Internal to src/model: routes, services and secret descriptors as JSON. The shape is the same in
/// the platform's documents, in the canonical text and in deltas.

#include <nlohmann/json_fwd.hpp>

#include "model/configuration.h"
#include "model/json_reader.h"

namespace coursepond::model {

nlohmann::json routeToJson(const Route& route);
nlohmann::json serviceToJson(const Service& service);
nlohmann::json limitsToJson(const CallerLimits& limits);
nlohmann::json descriptorToJson(const SecretDescriptor& descriptor);

Route readRoute(ObjectReader& reader);
Service readService(ObjectReader& reader);
CallerLimits readLimits(ObjectReader& reader);
SecretDescriptor readDescriptor(ObjectReader& reader);

}  // namespace coursepond::model
