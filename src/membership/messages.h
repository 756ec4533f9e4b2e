#pragma once

/// The messages of the membership protocol and their encoding: CBOR arrays without keys, to keep
/// the control traffic small. See docs/design/MEMBERSHIP.md.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/error.h"
#include "core/time.h"
#include "membership/member.h"

namespace coursepond::membership {

/// Matches a response to its request. Chosen by the requester; wraps around.
using SequenceNumber = std::uint32_t;

/// Hash of a node's member table and zone reports. Equal tables have equal digests.
using TableDigest = std::uint32_t;

/// Summary of a zone for other zones: its node count, and the few nodes that other zones may
/// contact.
struct ZoneSummary {
  ZoneId zone;
  std::uint64_t node_count = 0;
  std::vector<Member> contacts;  ///< Distributors, voters and a spare of each, sorted by id.
  friend bool operator==(const ZoneSummary&, const ZoneSummary&) = default;
};

/// Report of one node to its own zone about another zone. Reports by the same reporter are ordered
/// by (reporter_incarnation, sequence).
struct ZoneReport {
  NodeId reporter;
  Incarnation reporter_incarnation;
  std::uint64_t sequence = 0;
  bool reachable = false;  ///< The zone answered the reporter within the reachability timeout.
  ZoneSummary summary;
  friend bool operator==(const ZoneReport&, const ZoneReport&) = default;
};

/// Member claims and zone reports that are disseminated in a zone.
struct Updates {
  std::vector<Member> members;
  std::vector<ZoneReport> reports;
  bool empty() const { return members.empty() && reports.empty(); }
  friend bool operator==(const Updates&, const Updates&) = default;
};

/// Probes a member directly. Answered with an Ack.
struct Ping {
  SequenceNumber sequence = 0;
  TableDigest table_digest = 0;
  Updates updates;
  friend bool operator==(const Ping&, const Ping&) = default;
};

/// Answers a Ping. A relay also sends it to the node whose PingRequest it has served.
struct Ack {
  SequenceNumber sequence = 0;
  TableDigest table_digest = 0;
  Updates updates;
  friend bool operator==(const Ack&, const Ack&) = default;
};

/// Asks a relay to probe `target`, and to send an Ack with this sequence number if it answers.
struct PingRequest {
  SequenceNumber sequence = 0;
  NodeId target;
  friend bool operator==(const PingRequest&, const PingRequest&) = default;
};

/// Updates for the neighbours in the zone. Not answered.
struct Gossip {
  Updates updates;
  friend bool operator==(const Gossip&, const Gossip&) = default;
};

/// Asks a node of the same zone for its table, and announces the joiner. Answered with TablePage
/// messages or JoinDeferred.
struct JoinRequest {
  Member joiner;
  friend bool operator==(const JoinRequest&, const JoinRequest&) = default;
};

/// Defers a join because the handshake rate limit is reached. The joiner retries after
/// `retry_after`.
struct JoinDeferred {
  Duration retry_after{};
  friend bool operator==(const JoinDeferred&, const JoinDeferred&) = default;
};

/// Requests a copy of the receiver's table. Answered with TablePage messages.
struct SyncRequest {
  SequenceNumber sequence = 0;
  TableDigest table_digest = 0;
  friend bool operator==(const SyncRequest&, const SyncRequest&) = default;
};

/// One page of a copy of the sender's table, dead members included.
struct TablePage {
  SequenceNumber sequence = 0;  ///< Of the answered SyncRequest; zero if there is none.
  Updates table;
  bool last = false;       ///< No further page follows.
  bool send_back = false;  ///< On the last page: requests the receiver's table in return.
  friend bool operator==(const TablePage&, const TablePage&) = default;
};

/// A gateway's probe of another zone.
struct ZoneProbe {
  SequenceNumber sequence = 0;
  /// zoneSummaryDigest of the sender's summary of the receiver's zone; zero if it has none.
  TableDigest known_digest = 0;
  /// Summary of the sender's zone. Set while the receiver's zone is not known to be reachable.
  std::optional<ZoneSummary> introduction;
  friend bool operator==(const ZoneProbe&, const ZoneProbe&) = default;
};

/// Answers a ZoneProbe.
struct ZoneAnswer {
  SequenceNumber sequence = 0;
  ZoneId zone;
  std::optional<ZoneSummary> summary;  ///< The sender's zone; set if the known digest is stale.
  std::vector<ZoneSummary> others;     ///< Other known zones, in answer to an introduction.
  friend bool operator==(const ZoneAnswer&, const ZoneAnswer&) = default;
};

using Message = std::variant<Ping, Ack, PingRequest, Gossip, JoinRequest, JoinDeferred, SyncRequest,
                             TablePage, ZoneProbe, ZoneAnswer>;

/// Returns the stable name of the message type, used in counters: "ping".
std::string_view messageName(const Message& message);

std::string encodeMessage(const Message& message);

/// Decodes what `encodeMessage` writes. Returns kMalformed for anything else. Never throws.
Result<Message> decodeMessage(std::string_view bytes);

}  // namespace coursepond::membership
