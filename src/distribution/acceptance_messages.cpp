#include "distribution/acceptance_messages.h"

#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "distribution/cbor_array_reader.h"
#include "distribution/cbor_message.h"
#include "membership/cbor.h"

namespace coursepond::distribution {
namespace {

using Json = nlohmann::json;

/// Maximum length of a received plan id or node id, in bytes.
constexpr std::size_t kNameLimit = 256;
/// Maximum length of a received encoded message, in bytes.
constexpr std::size_t kMessageLimit = 4096;

constexpr std::array<std::string_view, std::variant_size_v<AcceptanceMessage>> kNames = {
    "prepare", "granted", "refused", "commit", "committed", "release"};

Json binary(const Digest& digest) {
  const std::string bytes = digest.bytes();
  return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

void append(Json& out, const AttemptKey& attempt) {
  out.push_back(attempt.coordinator.value());
  out.push_back(attempt.number);
}

void append(Json& out, const AcceptanceRecord& record) {
  out.push_back(record.version.value());
  out.push_back(record.digest.empty() ? Json(nullptr) : binary(record.digest));
  out.push_back(record.base.value());
}

void appendBody(Json& out, const Prepare& message) {
  append(out, message.attempt);
  out.push_back(message.plan.value());
  append(out, message.proposed);
  append(out, message.base);
  out.push_back(message.lease.count());
}

void appendBody(Json& out, const Granted& message) {
  append(out, message.attempt);
  append(out, message.record);
}

void appendBody(Json& out, const Refused& message) {
  append(out, message.attempt);
  out.push_back(static_cast<int>(message.kind));
  out.push_back(message.holder.value());
  append(out, message.record);
}

void appendBody(Json& out, const Commit& message) {
  append(out, message.attempt);
  append(out, message.record);
}

void appendBody(Json& out, const Committed& message) { append(out, message.attempt); }

void appendBody(Json& out, const Release& message) { append(out, message.attempt); }

AttemptKey readAttempt(CborArrayReader& reader) {
  AttemptKey key;
  key.coordinator = NodeId(reader.text(kNameLimit));
  key.number = reader.number();
  return key;
}

AcceptanceRecord readRecord(CborArrayReader& reader) {
  AcceptanceRecord record;
  record.version = Version(reader.number());
  record.digest = reader.digest();
  record.base = Version(reader.number());
  return record;
}

Duration readDuration(CborArrayReader& reader) {
  constexpr Duration kLongest = std::chrono::hours(1);
  return Duration(
      static_cast<Duration::rep>(reader.numberUpTo(static_cast<std::uint64_t>(kLongest.count()))));
}

ErrorKind readKind(CborArrayReader& reader) {
  const auto last = static_cast<std::uint64_t>(ErrorKind::kTimeout);
  const std::uint64_t value = reader.numberUpTo(last);
  if (value == 0) {
    reader.fail();
    return ErrorKind::kMalformed;
  }
  return static_cast<ErrorKind>(value);
}

AcceptanceMessage readPrepare(CborArrayReader& reader) {
  Prepare message;
  message.attempt = readAttempt(reader);
  message.plan = PlanId(reader.text(kNameLimit));
  message.proposed = readRecord(reader);
  message.base = readRecord(reader);
  message.lease = readDuration(reader);
  return message;
}

AcceptanceMessage readGranted(CborArrayReader& reader) {
  Granted message;
  message.attempt = readAttempt(reader);
  message.record = readRecord(reader);
  return message;
}

AcceptanceMessage readRefused(CborArrayReader& reader) {
  Refused message;
  message.attempt = readAttempt(reader);
  message.kind = readKind(reader);
  message.holder = PlanId(reader.text(kNameLimit));
  message.record = readRecord(reader);
  return message;
}

AcceptanceMessage readCommit(CborArrayReader& reader) {
  Commit message;
  message.attempt = readAttempt(reader);
  message.record = readRecord(reader);
  return message;
}

AcceptanceMessage readCommitted(CborArrayReader& reader) { return Committed{readAttempt(reader)}; }

AcceptanceMessage readRelease(CborArrayReader& reader) { return Release{readAttempt(reader)}; }

using ReadFunction = AcceptanceMessage (*)(CborArrayReader&);
constexpr std::array<ReadFunction, kNames.size()> kReaders = {
    readPrepare, readGranted, readRefused, readCommit, readCommitted, readRelease};

}  // namespace

std::string encodeAcceptanceMessage(const AcceptanceMessage& message) {
  Json out = Json::array();
  out.push_back(message.index());
  std::visit([&out](const auto& body) { appendBody(out, body); }, message);
  std::string bytes;
  Json::to_cbor(out, bytes);
  return bytes;
}

Result<AcceptanceMessage> decodeAcceptanceMessage(std::string_view bytes) {
  return decodeCborMessage(bytes, kMessageLimit, "acceptance", kReaders, kNames);
}

std::string_view messageName(const AcceptanceMessage& message) { return kNames[message.index()]; }

}  // namespace coursepond::distribution
