#include "model/configuration.h"

namespace coursepond::model {

std::vector<ServiceName> servicesOf(const Route& route) {
  if (route.split.empty()) return {route.service};
  std::vector<ServiceName> services;
  for (const WeightedService& part : route.split) services.push_back(part.service);
  return services;
}

Digest digestOfSecret(const SecretName& name, const SecretValue& value) {
  // The length keeps ("ab", "c") and ("a", "bc") apart.
  return Digest::of(std::to_string(name.value().size()) + ":" + name.value() + value.reveal());
}

}  // namespace coursepond::model
