#include "distribution/cbor_array_reader.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace coursepond::distribution {

const nlohmann::json* CborArrayReader::next() {
  return position_ < array_.size() ? &array_[position_++] : nullptr;
}

std::uint64_t CborArrayReader::number() {
  return numberUpTo(std::numeric_limits<std::uint64_t>::max());
}

std::uint64_t CborArrayReader::numberUpTo(std::uint64_t largest) {
  const nlohmann::json* item = next();
  if (item == nullptr || !item->is_number_unsigned() || item->get<std::uint64_t>() > largest) {
    failed_ = true;
    return 0;
  }
  return item->get<std::uint64_t>();
}

bool CborArrayReader::flag() {
  const nlohmann::json* item = next();
  if (item == nullptr || !item->is_boolean()) {
    failed_ = true;
    return false;
  }
  return item->get<bool>();
}

std::string CborArrayReader::text(std::size_t longest) {
  const nlohmann::json* item = next();
  if (item == nullptr || !item->is_string() ||
      item->get_ref<const std::string&>().size() > longest) {
    failed_ = true;
    return "";
  }
  return item->get<std::string>();
}

Digest CborArrayReader::digest() {
  const nlohmann::json* item = next();
  if (item != nullptr && item->is_null()) {
    return Digest();
  }
  if (item != nullptr && item->is_binary()) {
    const auto& bytes = item->get_binary();
    const auto parsed = Digest::fromBytes(std::string(bytes.begin(), bytes.end()));
    if (parsed.has_value()) {
      return *parsed;
    }
  }
  failed_ = true;
  return Digest();
}

const nlohmann::json& CborArrayReader::array(std::size_t longest) {
  static const nlohmann::json empty = nlohmann::json::array();
  const nlohmann::json* item = next();
  if (item == nullptr || !item->is_array() || item->size() > longest) {
    failed_ = true;
    return empty;
  }
  return *item;
}

bool CborArrayReader::finished() const { return !failed_ && position_ == array_.size(); }

}  // namespace coursepond::distribution
