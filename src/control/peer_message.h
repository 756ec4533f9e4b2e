#pragma once

/// All messages between nodes as one type, with their wire encoding.

#include <string>
#include <string_view>
#include <variant>

#include "admin/messages.h"
#include "core/error.h"
#include "distribution/acceptance_messages.h"
#include "distribution/messages.h"
#include "membership/messages.h"

namespace coursepond::control {

using PeerMessage = std::variant<membership::Message, distribution::Message,
                                 distribution::AcceptanceMessage, admin::Message>;

/// The protocol a message belongs to, for counting bytes by kind.
enum class MessageKind { kMembership, kDistribution, kAcceptance, kAdmin };

MessageKind kindOf(const PeerMessage& message);

/// "membership", "distribution", "acceptance" or "admin".
std::string_view kindName(MessageKind kind);

/// One byte that names the protocol, then the protocol's own encoding.
std::string encodePeerMessage(const PeerMessage& message);

/// Returns kMalformed for bytes that `encodePeerMessage` does not produce. Never throws.
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

}  // namespace coursepond::control
