// Every message is a CBOR array: the message kind, followed by the fields in struct order.

#include <cstddef>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <type_traits>
#include <utility>

#include "distribution/messages.h"
#include "membership/cbor.h"

namespace coursepond::distribution {
namespace {

using Json = nlohmann::json;

constexpr char kRemedy[] =
    "run the same coursepond release on every node; if they are the same, something else writes "
    "to the peer port";

// ---- Encoding: one overload of `write` per type. ----

Json write(std::uint64_t value) { return value; }
Json write(bool value) { return value; }
Json write(const std::string& value) { return value; }

template <typename Tag>
Json write(const Name<Tag>& name) {
  return name.value();
}

template <typename Tag>
Json write(const Number<Tag>& number) {
  return number.value();
}

template <typename Enumeration>
requires std::is_enum_v<Enumeration> Json write(Enumeration value) {
  return static_cast<std::uint64_t>(value);
}

Json writeBytes(const std::string& bytes) {
  return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

Json write(const Digest& digest) { return writeBytes(digest.bytes()); }

// Forward declarations: the templates below must see every overload they use.
Json write(const ContentId& id);
Json write(const ShortContentId& id);
Json write(const EndpointKey& key);
Json write(const AcceptanceRecord& record);
Json write(const model::Endpoint& endpoint);
Json write(const EndpointChange& change);
Json write(const EndpointGeneration& entry);
Json write(const model::SecretValues& values);
template <typename Element>
Json write(const std::vector<Element>& elements);

template <typename... Fields>
Json writeFields(const Fields&... fields) {
  Json array = Json::array();
  (array.push_back(write(fields)), ...);
  return array;
}

template <typename Element>
Json write(const std::vector<Element>& elements) {
  Json array = Json::array();
  for (const Element& element : elements) array.push_back(write(element));
  return array;
}

Json write(const ContentId& id) { return writeFields(id.version, id.digest); }
Json write(const ShortContentId& id) { return writeFields(id.version, id.digest_prefix); }
Json write(const EndpointKey& key) { return writeFields(key.service, key.zone); }

Json write(const AcceptanceRecord& record) {
  return writeFields(record.version, record.digest, record.base);
}

Json write(const model::Endpoint& endpoint) {
  return writeFields(endpoint.id, endpoint.address.host, std::uint64_t{endpoint.address.port},
                     endpoint.state);
}

Json write(const EndpointChange& change) {
  return writeFields(change.key, change.base_generation, change.generation, change.upserted,
                     change.removed);
}

Json write(const EndpointGeneration& entry) { return writeFields(entry.key, entry.generation); }

Json write(const model::SecretValues& values) {
  Json array = Json::array();
  for (const auto& [name, value] : values) {
    array.push_back(Json::array({name.value(), writeBytes(value.reveal())}));
  }
  return array;
}

Json write(const Summary& summary) {
  return writeFields(summary.accepted, std::uint64_t{summary.accepted_checksum}, summary.in_force,
                     summary.staged, std::uint64_t{summary.staged_checksum},
                     summary.endpoint_checksum, summary.is_answer, summary.wants_answer,
                     summary.witness, summary.holds_all_secrets,
                     summary.last_error.substr(0, kMaxReportedError));
}

Json write(const RecordPush& push) { return writeFields(push.spread, push.record); }

Json write(const ContentAnnouncement& announcement) {
  return writeFields(announcement.spread, announcement.content);
}

Json write(const ContentFetch& fetch) { return writeFields(fetch.content, fetch.held); }

Json write(const ContentDelta& delta) {
  return Json::array({write(delta.content), write(delta.base), writeBytes(delta.compressed)});
}

Json write(const ContentFull& full) {
  return Json::array({write(full.content), writeBytes(full.compressed)});
}

Json write(const ContentRefusal& refusal) { return writeFields(refusal.content, refusal.reason); }
Json write(const SecretFetch& fetch) { return writeFields(fetch.content, fetch.names); }

Json write(const SecretDelivery& delivery) {
  return writeFields(delivery.content, delivery.values);
}

Json write(const EndpointPush& push) { return writeFields(push.spread, push.changes); }

Json write(const EndpointBuckets& buckets) { return Json::array({Json(buckets.checksums)}); }

Json write(const EndpointGenerations& generations) {
  Json buckets = Json::array();
  for (const std::uint8_t bucket : generations.buckets) buckets.push_back(std::uint64_t{bucket});
  return Json::array({buckets, write(generations.generations)});
}

Json write(const EndpointFetch& fetch) { return writeFields(fetch.keys); }

// ---- Decoding ----

/// Thrown only inside this file; decodeMessage converts it into an Error.
struct DecodeFailure : std::exception {
  explicit DecodeFailure(ErrorKind failure_kind = ErrorKind::kMalformed) : kind(failure_kind) {}
  ErrorKind kind;
};

/// Reads the elements of one array in order and checks the type of each.
class FieldReader {
 public:
  explicit FieldReader(const Json& array) : array_(array) {
    if (!array.is_array()) throw DecodeFailure();
  }

  /// Must be called after the last field. Throws if elements are left.
  void finish() const {
    if (next_ != array_.size()) throw DecodeFailure();
  }

  std::uint64_t number(std::uint64_t limit = UINT64_MAX) {
    const Json& value = take();
    if (!value.is_number_unsigned()) throw DecodeFailure();
    const auto number = value.get<std::uint64_t>();
    if (number > limit) throw DecodeFailure();
    return number;
  }

  bool boolean() {
    const Json& value = take();
    if (!value.is_boolean()) throw DecodeFailure();
    return value.get<bool>();
  }

  std::string text() {
    const Json& value = take();
    if (!value.is_string()) throw DecodeFailure();
    return value.get<std::string>();
  }

  std::string bytes() {
    const Json& value = take();
    if (!value.is_binary()) throw DecodeFailure();
    const auto& binary = value.get_binary();
    return std::string(binary.begin(), binary.end());
  }

  Digest digest() {
    const Result<Digest> digest = Digest::fromBytes(bytes());
    if (!digest) throw DecodeFailure();
    return *digest;
  }

  template <typename NumberType>
  NumberType counter() {
    return NumberType(number());
  }

  template <typename NameType>
  NameType name() {
    return NameType(text());
  }

  template <typename Enumeration>
  Enumeration enumeration(Enumeration last) {
    return static_cast<Enumeration>(number(static_cast<std::uint64_t>(last)));
  }

  /// Reads a nested array with `read`, which must consume all of its elements.
  template <typename Read>
  auto nested(Read read) {
    FieldReader reader(take());
    auto value = read(reader);
    reader.finish();
    return value;
  }

  /// Reads a list of nested arrays or names.
  template <typename Read>
  auto list(Read read) {
    const Json& array = take();
    if (!array.is_array()) throw DecodeFailure();
    if (array.size() > kMaxListLength) throw DecodeFailure(ErrorKind::kTooLarge);
    FieldReader elements(array);
    std::vector<decltype(read(elements))> values;
    values.reserve(array.size());
    for (std::size_t i = 0; i < array.size(); ++i) values.push_back(read(elements));
    return values;
  }

 private:
  const Json& take() {
    if (next_ >= array_.size()) throw DecodeFailure();
    return array_[next_++];
  }

  const Json& array_;
  std::size_t next_ = 0;
};

ContentId readContentId(FieldReader& reader) {
  return reader.nested([](FieldReader& fields) {
    ContentId id;
    id.version = fields.counter<Version>();
    id.digest = fields.digest();
    return id;
  });
}

ShortContentId readShortContentId(FieldReader& reader) {
  return reader.nested([](FieldReader& fields) {
    ShortContentId id;
    id.version = fields.counter<Version>();
    id.digest_prefix = fields.number();
    return id;
  });
}

EndpointKey readEndpointKey(FieldReader& reader) {
  return reader.nested([](FieldReader& fields) {
    EndpointKey key;
    key.service = fields.name<ServiceName>();
    key.zone = fields.name<ZoneId>();
    return key;
  });
}

AcceptanceRecord readRecord(FieldReader& reader) {
  return reader.nested([](FieldReader& fields) {
    AcceptanceRecord record;
    record.version = fields.counter<Version>();
    record.digest = fields.digest();
    record.base = fields.counter<Version>();
    return record;
  });
}

model::Endpoint readEndpoint(FieldReader& reader, const ZoneId& zone) {
  return reader.nested([&zone](FieldReader& fields) {
    model::Endpoint endpoint;
    endpoint.id = fields.name<EndpointId>();
    endpoint.address.host = fields.text();
    endpoint.address.port = static_cast<std::uint16_t>(fields.number(UINT16_MAX));
    endpoint.zone = zone;
    endpoint.state = fields.enumeration(model::MachineState::kLeaving);
    return endpoint;
  });
}

EndpointChange readEndpointChange(FieldReader& reader) {
  return reader.nested([](FieldReader& fields) {
    EndpointChange change;
    change.key = readEndpointKey(fields);
    change.base_generation = fields.counter<Generation>();
    change.generation = fields.counter<Generation>();
    change.upserted = fields.list(
        [&change](FieldReader& element) { return readEndpoint(element, change.key.zone); });
    change.removed = fields.list([](FieldReader& element) { return element.name<EndpointId>(); });
    return change;
  });
}

EndpointGeneration readEndpointGeneration(FieldReader& reader) {
  return reader.nested([](FieldReader& fields) {
    EndpointGeneration entry;
    entry.key = readEndpointKey(fields);
    entry.generation = fields.counter<Generation>();
    return entry;
  });
}

struct NamedSecret {
  SecretName name;
  model::SecretValue value;
};

NamedSecret readNamedSecret(FieldReader& reader) {
  return reader.nested([](FieldReader& fields) {
    NamedSecret secret;
    secret.name = fields.name<SecretName>();
    secret.value = model::SecretValue(fields.bytes());
    return secret;
  });
}

// One overload of `read` per message type, in the order of the variant.

void read(FieldReader& fields, Summary& summary) {
  summary.accepted = fields.counter<Version>();
  summary.accepted_checksum = static_cast<std::uint32_t>(fields.number(UINT32_MAX));
  summary.in_force = fields.counter<Version>();
  summary.staged = fields.counter<Version>();
  summary.staged_checksum = static_cast<std::uint32_t>(fields.number(UINT32_MAX));
  summary.endpoint_checksum = fields.number();
  summary.is_answer = fields.boolean();
  summary.wants_answer = fields.boolean();
  summary.witness = fields.boolean();
  summary.holds_all_secrets = fields.boolean();
  summary.last_error = fields.text();
  if (summary.last_error.size() > kMaxReportedError) throw DecodeFailure(ErrorKind::kTooLarge);
}

void read(FieldReader& fields, RecordPush& push) {
  push.spread = fields.enumeration(ForwardMode::kSecondTree);
  push.record = readRecord(fields);
}

void read(FieldReader& fields, ContentAnnouncement& announcement) {
  announcement.spread = fields.enumeration(ForwardMode::kSecondTree);
  announcement.content = readContentId(fields);
}

void read(FieldReader& fields, ContentFetch& fetch) {
  fetch.content = readShortContentId(fields);
  fetch.held = fields.list(readShortContentId);
}

void read(FieldReader& fields, ContentDelta& delta) {
  delta.content = readShortContentId(fields);
  delta.base = readShortContentId(fields);
  delta.compressed = fields.bytes();
}

void read(FieldReader& fields, ContentFull& full) {
  full.content = readShortContentId(fields);
  full.compressed = fields.bytes();
}

void read(FieldReader& fields, ContentRefusal& refusal) {
  refusal.content = readShortContentId(fields);
  refusal.reason = fields.enumeration(RefusalReason::kBusy);
}

void read(FieldReader& fields, SecretFetch& fetch) {
  fetch.content = readShortContentId(fields);
  fetch.names = fields.list([](FieldReader& element) { return element.name<SecretName>(); });
}

void read(FieldReader& fields, SecretDelivery& delivery) {
  delivery.content = readShortContentId(fields);
  for (NamedSecret& secret : fields.list(readNamedSecret)) {
    delivery.values.insert_or_assign(std::move(secret.name), std::move(secret.value));
  }
}

void read(FieldReader& fields, EndpointPush& push) {
  push.spread = fields.enumeration(ForwardMode::kSecondTree);
  push.changes = fields.list(readEndpointChange);
}

void read(FieldReader& fields, EndpointBuckets& buckets) {
  const auto checksums = fields.list([](FieldReader& element) { return element.number(); });
  if (checksums.size() != buckets.checksums.size()) throw DecodeFailure();
  std::copy(checksums.begin(), checksums.end(), buckets.checksums.begin());
}

void read(FieldReader& fields, EndpointGenerations& generations) {
  generations.buckets = fields.list([](FieldReader& element) {
    return static_cast<std::uint8_t>(element.number(kEndpointBuckets - 1));
  });
  generations.generations = fields.list(readEndpointGeneration);
}

void read(FieldReader& fields, EndpointFetch& fetch) { fetch.keys = fields.list(readEndpointKey); }

/// Reads a message. `kind` is the index of its type in the variant.
template <std::size_t kIndex = 0>
Message readKind(std::uint64_t kind, FieldReader& fields) {
  if constexpr (kIndex == std::variant_size_v<Message>) {
    throw DecodeFailure();
  } else {
    if (kind != kIndex) return readKind<kIndex + 1>(kind, fields);
    std::variant_alternative_t<kIndex, Message> message;
    read(fields, message);
    fields.finish();
    return message;
  }
}

Error decodeError(ErrorKind kind) {
  const char* text = kind == ErrorKind::kTooLarge
                         ? "a distribution message exceeds a size limit"
                         : "the bytes are not a valid distribution message";
  return Error{kind, text, kRemedy};
}

}  // namespace

ShortContentId shortened(const ContentId& content) {
  const std::string bytes = content.digest.bytes();
  std::uint64_t prefix = 0;
  for (std::size_t i = 0; i < sizeof(prefix); ++i) {
    prefix = (prefix << 8) | static_cast<std::uint8_t>(bytes[i]);
  }
  return {content.version, prefix};
}

std::string encodeMessage(const Message& message) {
  Json array = std::visit([](const auto& fields) { return write(fields); }, message);
  array.insert(array.begin(), message.index());
  std::string bytes;
  Json::to_cbor(array, bytes);
  return bytes;
}

Result<Message> decodeMessage(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) return decodeError(ErrorKind::kTooLarge);
  const std::optional<Json> array = parseCbor(bytes);
  if (!array) return decodeError(ErrorKind::kMalformed);
  try {
    FieldReader fields(*array);
    return readKind(fields.number(), fields);
  } catch (const DecodeFailure& failure) {
    return decodeError(failure.kind);
  } catch (const std::exception&) {
    return decodeError(ErrorKind::kMalformed);
  }
}

}  // namespace coursepond::distribution
