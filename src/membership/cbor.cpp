#include "membership/cbor.h"

#include <nlohmann/json.hpp>
#include <string>

namespace coursepond {
namespace {

using Json = nlohmann::json;

/// Rejects values that are nested too deeply, and containers that claim more elements than the
/// input has bytes.
class ShapeCheck final : public Json::json_sax_t {
 public:
  explicit ShapeCheck(std::size_t input_size) : input_size_(input_size) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t elements) override { return open(elements); }
  bool start_array(std::size_t elements) override { return open(elements); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  static constexpr std::size_t kUnknownLength = static_cast<std::size_t>(-1);

  bool open(std::size_t elements) {
    ++depth_;
    return depth_ <= kMaximumCborDepth && (elements <= input_size_ || elements == kUnknownLength);
  }
  bool close() {
    --depth_;
    return true;
  }

  std::size_t input_size_;
  std::size_t depth_ = 0;
};

}  // namespace

std::optional<Json> parseCbor(std::string_view bytes) {
  try {
    ShapeCheck check(bytes.size());
    if (!Json::sax_parse(bytes, &check, Json::input_format_t::cbor)) {
      return std::nullopt;
    }
    Json value = Json::from_cbor(bytes, true, false);
    if (value.is_discarded()) {
      return std::nullopt;
    }
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace coursepond
