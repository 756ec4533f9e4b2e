#include "model/configuration.h"

namespace coursepond::model {

Digest digestOfSecret(const SecretName& name, const SecretValue& value) {
  // The length prefix gives ("ab", "c") and ("a", "bc") different digests.
  return Digest::of(std::to_string(name.value().size()) + ":" + name.value() + value.reveal());
}

}  // namespace coursepond::model
