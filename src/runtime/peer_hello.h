#pragma once

/// The first frame in each direction of a connection between nodes.

#include <cstdint>
#include <string>
#include <string_view>

#include "core/address.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"

namespace coursepond::runtime {

/// Incremented with every protocol change that older nodes cannot read.
inline constexpr std::uint32_t kPeerProtocolVersion = 1;

/// Maximum size of a hello or its answer in bytes; a longer first frame is rejected. This also
/// limits the nesting depth of a forged one, because the CBOR parser is recursive.
inline constexpr std::size_t kHelloLimit = 512;

/// The identity that a node claims.
struct PeerIdentity {
  std::string mesh;
  NodeId id;
  ZoneId zone;
  Incarnation incarnation;  ///< Of this start of the process; distinguishes successive processes
                            ///< with the same id.
  Address address;          ///< Where other nodes can connect to it.
  friend bool operator==(const PeerIdentity&, const PeerIdentity&) = default;
};

/// The first frame that the connecting node sends.
struct Hello {
  std::uint32_t protocol_version = kPeerProtocolVersion;
  PeerIdentity identity;
};

enum class HelloOutcome {
  kWelcome = 0,
  kLater = 1,          ///< The handshake rate limit is exceeded; retry after `retry_after`.
  kWrongVersion = 2,   ///< The protocol versions differ.
  kWrongMesh = 3,      ///< The mesh names differ.
  kWrongIdentity = 4,  ///< A newer process with the same id is connected, or it is the node itself.
};

/// Returns "welcome", "later", "wrong_version" and so on, for logs.
std::string_view outcomeName(HelloOutcome outcome);

/// The reply of the accepting node.
struct HelloAnswer {
  std::uint32_t protocol_version = kPeerProtocolVersion;
  HelloOutcome outcome = HelloOutcome::kWelcome;
  Duration retry_after{};
  PeerIdentity identity;
};

std::string encodeHello(const Hello& hello);
std::string encodeHelloAnswer(const HelloAnswer& answer);

/// Return kMalformed for anything else. For another protocol version, only the version is parsed.
Result<Hello> decodeHello(std::string_view bytes);
Result<HelloAnswer> decodeHelloAnswer(std::string_view bytes);

}  // namespace coursepond::runtime
