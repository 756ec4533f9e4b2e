#include "runtime/peer_hello.h"

#include <nlohmann/json.hpp>

namespace coursepond::runtime {
namespace {

using nlohmann::json;

/// Distinguishes a hello of this protocol from whatever else may connect to the port.
constexpr char kMagic[] = "coursepond";
constexpr std::size_t kNameLimit = 64;

Error malformed(const std::string& what) {
  return Error{ErrorKind::kMalformed, what,
               "allow only nodes of this mesh to connect to the peer port"};
}

json identityToJson(const PeerIdentity& identity) {
  return json::array({identity.mesh, identity.id.value(), identity.zone.value(),
                      identity.incarnation.value(), formatAddress(identity.address)});
}

std::string readName(const json& value) {
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > kNameLimit)
    throw std::invalid_argument("a name is empty or too long");
  return text;
}

/// Throws if `value` is not a valid identity.
PeerIdentity identityFromJson(const json& value) {
  if (value.size() != 5) throw std::invalid_argument("the identity does not have five elements");
  PeerIdentity identity;
  identity.mesh = readName(value.at(0));
  identity.id = NodeId(readName(value.at(1)));
  identity.zone = ZoneId(readName(value.at(2)));
  identity.incarnation = Incarnation(value.at(3).get<std::uint64_t>());
  identity.address = parseAddress(value.at(4).get<std::string>()).value();
  return identity;
}

std::string toCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

/// Parses an array that starts with the protocol name and a version. Throws on anything else.
json readEnvelope(std::string_view bytes) {
  if (bytes.size() > kHelloLimit) throw std::invalid_argument("it exceeds the size limit");
  json envelope = json::from_cbor(bytes.begin(), bytes.end());
  if (!envelope.is_array() || envelope.size() < 2 || envelope.at(0) != kMagic) {
    throw std::invalid_argument("it does not start with the protocol name");
  }
  return envelope;
}

HelloOutcome readOutcome(const json& value) {
  const auto number = value.get<std::uint32_t>();
  if (number > static_cast<std::uint32_t>(HelloOutcome::kWrongIdentity)) {
    throw std::invalid_argument("the outcome is unknown");
  }
  return static_cast<HelloOutcome>(number);
}

}  // namespace

std::string_view outcomeName(HelloOutcome outcome) {
  switch (outcome) {
    case HelloOutcome::kWelcome:
      return "welcome";
    case HelloOutcome::kLater:
      return "later";
    case HelloOutcome::kWrongVersion:
      return "wrong_version";
    case HelloOutcome::kWrongMesh:
      return "wrong_mesh";
    case HelloOutcome::kWrongIdentity:
      return "wrong_identity";
  }
  return "unknown";
}

std::string encodeHello(const Hello& hello) {
  return toCbor(json::array({kMagic, hello.protocol_version, identityToJson(hello.identity)}));
}

std::string encodeHelloAnswer(const HelloAnswer& answer) {
  return toCbor(
      json::array({kMagic, answer.protocol_version, static_cast<std::uint32_t>(answer.outcome),
                   answer.retry_after.count(), identityToJson(answer.identity)}));
}

Result<Hello> decodeHello(std::string_view bytes) {
  try {
    const json envelope = readEnvelope(bytes);
    Hello hello;
    hello.protocol_version = envelope.at(1).get<std::uint32_t>();
    if (hello.protocol_version != kPeerProtocolVersion) return hello;
    hello.identity = identityFromJson(envelope.at(2));
    return hello;
  } catch (const std::exception& error) {
    return malformed(std::string("not a hello: ") + error.what());
  }
}

Result<HelloAnswer> decodeHelloAnswer(std::string_view bytes) {
  try {
    const json envelope = readEnvelope(bytes);
    HelloAnswer answer;
    answer.protocol_version = envelope.at(1).get<std::uint32_t>();
    if (answer.protocol_version != kPeerProtocolVersion) {
      answer.outcome = HelloOutcome::kWrongVersion;
      return answer;
    }
    answer.outcome = readOutcome(envelope.at(2));
    answer.retry_after = Duration(envelope.at(3).get<std::int64_t>());
    answer.identity = identityFromJson(envelope.at(4));
    return answer;
  } catch (const std::exception& error) {
    return malformed(std::string("not an answer to a hello: ") + error.what());
  }
}

}  // namespace coursepond::runtime
