#include "control/peer_message.h"

#include <array>

namespace coursepond::control {
namespace {

constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>> kNames = {
    "membership", "distribution", "acceptance", "admin"};

std::string encodeBody(const membership::Message& message) {
  return membership::encodeMessage(message);
}
std::string encodeBody(const distribution::Message& message) {
  return distribution::encodeMessage(message);
}
std::string encodeBody(const distribution::AcceptanceMessage& message) {
  return distribution::encodeAcceptanceMessage(message);
}
std::string encodeBody(const admin::Message& message) { return admin::encodeAdminMessage(message); }

template <typename Body>
Result<PeerMessage> wrap(Result<Body> body) {
  if (body.has_error()) {
    return body.error();
  }
  return PeerMessage(std::move(*body));
}

Error unknownKind() {
  return Error{ErrorKind::kMalformed, "peer message: unknown protocol",
               "run the same release of coursepond on every node"};
}

}  // namespace

MessageKind kindOf(const PeerMessage& message) { return static_cast<MessageKind>(message.index()); }

std::string_view kindName(MessageKind kind) { return kNames[static_cast<std::size_t>(kind)]; }

std::string encodePeerMessage(const PeerMessage& message) {
  std::string bytes(1, static_cast<char>(message.index()));
  bytes += std::visit([](const auto& body) { return encodeBody(body); }, message);
  return bytes;
}

Result<PeerMessage> decodePeerMessage(std::string_view bytes) {
  if (bytes.empty() || static_cast<unsigned char>(bytes.front()) >= kNames.size()) {
    return unknownKind();
  }
  const std::string_view body = bytes.substr(1);
  switch (static_cast<MessageKind>(bytes.front())) {
    case MessageKind::kMembership:
      return wrap(membership::decodeMessage(body));
    case MessageKind::kDistribution:
      return wrap(distribution::decodeMessage(body));
    case MessageKind::kAcceptance:
      return wrap(distribution::decodeAcceptanceMessage(body));
    case MessageKind::kAdmin:
      return wrap(admin::decodeAdminMessage(body));
  }
  return unknownKind();
}

}  // namespace coursepond::control
