#include "distribution/cbor_message.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "membership/cbor.h"

namespace coursepond::distribution {

std::string_view readCborArray(std::string_view bytes, std::size_t limit,
                               const std::function<void(CborArrayReader&)>& read) {
  if (bytes.size() > limit) return "longer than a message may be";
  const std::optional<nlohmann::json> array = parseCbor(bytes);
  if (!array.has_value() || !array->is_array()) return "not a CBOR array";
  CborArrayReader reader(*array);
  read(reader);
  return {};
}

}  // namespace coursepond::distribution
