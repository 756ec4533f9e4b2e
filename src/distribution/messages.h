#pragma once

/// Messages between the Replicas of a mesh, and their encoding. All are small except those that
/// carry content. docs/design/DISTRIBUTION.md describes who sends which message and when.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/digest.h"
#include "core/error.h"
#include "core/ids.h"
#include "distribution/acceptance_record.h"
#include "model/configuration.h"
#include "model/endpoint.h"

namespace coursepond::distribution {

/// Maximum size of an encoded message, in bytes; larger ones are rejected with kTooLarge.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{8} * 1024 * 1024;
/// Maximum number of elements in any list of a message.
inline constexpr std::size_t kMaxListLength = 4096;
/// Maximum length of the error text a proxy reports, in bytes; longer texts are truncated.
inline constexpr std::size_t kMaxReportedError = 200;

/// How the receiver of a push forwards it, in addition to applying it.
enum class ForwardMode : std::uint8_t {
  kDirect = 0,      ///< Sent to this node only; no forwarding requested.
  kZone = 1,        ///< Forward it to all members of the receiver's zone.
  kFirstTree = 2,   ///< Forward it to the receiver's children in the first distributor's tree.
  kSecondTree = 3,  ///< The same in the second distributor's tree.
};

/// Identifies one content unambiguously.
struct ContentId {
  Version version;
  Digest digest;  ///< model::contentDigest of the content.
  friend auto operator<=>(const ContentId&, const ContentId&) = default;
};

/// A ContentId with 8 of its digest's 32 bytes, for messages between peers that know the full id
/// from an announcement or a record. The full digest is checked against the content itself.
struct ShortContentId {
  Version version;
  std::uint64_t digest_prefix = 0;
  friend auto operator<=>(const ShortContentId&, const ShortContentId&) = default;
};

ShortContentId shortened(const ContentId& content);

/// Anti-entropy: a compact description of what the sender holds. Also reports the proxy's state.
struct Summary {
  Version accepted;
  std::uint32_t accepted_checksum = 0;  ///< Of the accepted record's digest.
  Version in_force;
  Version staged;                     ///< The newest complete content.
  std::uint32_t staged_checksum = 0;  ///< Of the digest of the staged content.
  std::uint64_t endpoint_checksum = 0;
  bool is_answer = false;  ///< Sent in reply to a Summary; must not be answered with another one.
  bool wants_answer = false;  ///< The sender is cold or was paused and needs an answer in any case.
  bool witness = false;       ///< The sender knows an acceptance record.
  bool holds_all_secrets = false;  ///< Of the staged content, for every zone.
  std::string last_error;          ///< Last error of the proxy; empty if there is none.
  friend bool operator==(const Summary&, const Summary&) = default;
};

/// Propagates an acceptance record to every node.
struct RecordPush {
  ForwardMode spread = ForwardMode::kDirect;
  AcceptanceRecord record;
  friend bool operator==(const RecordPush&, const RecordPush&) = default;
};

/// Announces that the sender holds this content completely and can send it.
struct ContentAnnouncement {
  ForwardMode spread = ForwardMode::kDirect;
  ContentId content;
  friend bool operator==(const ContentAnnouncement&, const ContentAnnouncement&) = default;
};

/// Requests content; answered by ContentDelta, ContentFull or ContentRefusal.
struct ContentFetch {
  ShortContentId content;
  std::vector<ShortContentId> held;  ///< Contents that may serve as the base of a delta.
  friend bool operator==(const ContentFetch&, const ContentFetch&) = default;
};

/// model::canonicalText of the content, compressed against that of the base. A change of one route
/// takes about ten bytes.
struct ContentDelta {
  ShortContentId content;
  ShortContentId base;
  std::string compressed;
  friend bool operator==(const ContentDelta&, const ContentDelta&) = default;
};

/// Compressed model::canonicalText of the content.
struct ContentFull {
  ShortContentId content;
  std::string compressed;
  friend bool operator==(const ContentFull&, const ContentFull&) = default;
};

enum class RefusalReason : std::uint8_t {
  kNotHeld = 0,
  kBusy = 1,  ///< The rate limit for full contents is reached; ask another peer.
};

struct ContentRefusal {
  ShortContentId content;
  RefusalReason reason = RefusalReason::kNotHeld;
  friend bool operator==(const ContentRefusal&, const ContentRefusal&) = default;
};

/// Requests the values of secrets that the content uses in the sender's zone.
struct SecretFetch {
  ShortContentId content;
  std::vector<SecretName> names;
  friend bool operator==(const SecretFetch&, const SecretFetch&) = default;
};

/// The requested values, limited to those that the sender holds and the receiver's zone uses.
struct SecretDelivery {
  ShortContentId content;
  model::SecretValues values;
  friend bool operator==(const SecretDelivery&, const SecretDelivery&) = default;
};

/// Identifies the endpoint set of one service in one zone.
struct EndpointKey {
  ServiceName service;
  ZoneId zone;
  friend auto operator<=>(const EndpointKey&, const EndpointKey&) = default;
};

/// A change of one endpoint set relative to a generation the receiver may hold. If
/// `base_generation` is zero, it is the full set.
struct EndpointChange {
  EndpointKey key;
  Generation base_generation;
  Generation generation;
  std::vector<model::Endpoint> upserted;  ///< Their zone is that of the key.
  std::vector<EndpointId> removed;
  friend bool operator==(const EndpointChange&, const EndpointChange&) = default;
};

struct EndpointPush {
  ForwardMode spread = ForwardMode::kDirect;
  std::vector<EndpointChange> changes;
  friend bool operator==(const EndpointPush&, const EndpointPush&) = default;
};

/// Number of buckets over which endpoint keys are distributed by hash, so that a repair compares
/// few bytes.
inline constexpr std::size_t kEndpointBuckets = 16;

/// The sender's endpoint checksum of each bucket. Sent when the overall checksums differ.
struct EndpointBuckets {
  std::array<std::uint64_t, kEndpointBuckets> checksums{};
  friend bool operator==(const EndpointBuckets&, const EndpointBuckets&) = default;
};

struct EndpointGeneration {
  EndpointKey key;
  Generation generation;
  friend bool operator==(const EndpointGeneration&, const EndpointGeneration&) = default;
};

/// All generations the sender holds in the buckets that differ.
struct EndpointGenerations {
  std::vector<std::uint8_t> buckets;
  std::vector<EndpointGeneration> generations;
  friend bool operator==(const EndpointGenerations&, const EndpointGenerations&) = default;
};

/// Requests full endpoint sets; answered by an EndpointPush.
struct EndpointFetch {
  std::vector<EndpointKey> keys;
  friend bool operator==(const EndpointFetch&, const EndpointFetch&) = default;
};

using Message = std::variant<Summary, RecordPush, ContentAnnouncement, ContentFetch, ContentDelta,
                             ContentFull, ContentRefusal, SecretFetch, SecretDelivery, EndpointPush,
                             EndpointBuckets, EndpointGenerations, EndpointFetch>;

/// Encodes the message as CBOR, with binary digests.
std::string encodeMessage(const Message& message);

/// Decodes the output of `encodeMessage`. Returns kMalformed or kTooLarge for anything else. Never
/// throws.
Result<Message> decodeMessage(std::string_view bytes);

}  // namespace coursepond::distribution
