/// Encoding of the membership messages. Each message is one CBOR array whose first element is the
/// type number.

#include <boost/asio/ip/address_v4.hpp>
#include <limits>
#include <nlohmann/json.hpp>

#include "membership/cbor.h"
#include "membership/messages.h"

namespace coursepond::membership {
namespace {

using Json = nlohmann::json;
using boost::asio::ip::address_v4;
using boost::asio::ip::make_address_v4;

/// Thrown by the read functions of this file. decodeMessage converts it to kMalformed.
struct Malformed {};

void require(bool condition) {
  if (!condition) {
    throw Malformed{};
  }
}

// ---- Reading plain values ----

/// Reads the elements of one array in order. Throws Malformed if an element is missing, has the
/// wrong type or is left over.
class ArrayReader {
 public:
  explicit ArrayReader(const Json& array) : array_(array) { require(array.is_array()); }

  const Json& next() {
    require(position_ < array_.size());
    return array_[position_++];
  }
  bool atEnd() const { return position_ == array_.size(); }
  void finish() const { require(atEnd()); }

  std::uint64_t number(std::uint64_t limit = std::numeric_limits<std::uint64_t>::max()) {
    const Json& value = next();
    require(value.is_number_unsigned());
    const auto number = value.get<std::uint64_t>();
    require(number <= limit);
    return number;
  }
  std::uint32_t number32() {
    return static_cast<std::uint32_t>(number(std::numeric_limits<std::uint32_t>::max()));
  }
  bool boolean() { return number(1) == 1; }
  template <typename Name>
  Name name() {
    const Json& value = next();
    require(value.is_string());
    const auto& text = value.get_ref<const std::string&>();
    require(!text.empty());
    return Name(text);
  }

 private:
  const Json& array_;
  std::size_t position_ = 0;
};

// ---- Addresses: IPv4 as a number, anything else as text ----

Json writeHost(const std::string& host) {
  boost::system::error_code error;
  const address_v4 address = make_address_v4(host, error);
  if (error || address.to_string() != host) {
    return host;
  }
  return address.to_uint();
}

std::string readHost(const Json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  require(value.is_number_unsigned());
  const auto number = value.get<std::uint64_t>();
  require(number <= std::numeric_limits<std::uint32_t>::max());
  return address_v4(static_cast<address_v4::uint_type>(number)).to_string();
}

// ---- Members ----

constexpr std::uint64_t kLeavingFlag = 4;  ///< The two bits below it hold the state.
constexpr std::uint64_t kStateMask = 3;

Json writeMember(const Member& member, const ZoneId& default_zone) {
  const std::uint64_t flags =
      static_cast<std::uint64_t>(member.state) | (member.leaving ? kLeavingFlag : 0);
  Json array = {member.id.value(), writeHost(member.peer_address.host), member.peer_address.port,
                member.incarnation.value(), flags};
  if (member.zone != default_zone) {
    array.push_back(member.zone.value());
  }
  return array;
}

Member readMember(const Json& value, const ZoneId& default_zone) {
  ArrayReader reader(value);
  Member member;
  member.id = reader.name<NodeId>();
  member.peer_address.host = readHost(reader.next());
  member.peer_address.port =
      static_cast<std::uint16_t>(reader.number(std::numeric_limits<std::uint16_t>::max()));
  member.incarnation = Incarnation(reader.number());
  const std::uint64_t flags = reader.number(kStateMask | kLeavingFlag);
  member.state = static_cast<MemberState>(flags & kStateMask);
  member.leaving = (flags & kLeavingFlag) != 0;
  member.zone = reader.atEnd() ? default_zone : reader.name<ZoneId>();
  require(!member.zone.empty());
  reader.finish();
  return member;
}

/// Writes the default zone, then the members. A member includes its zone only if that differs.
Json writeMembers(const std::vector<Member>& members) {
  Json array = Json::array();
  if (members.empty()) {
    return array;
  }
  const ZoneId& default_zone = members.front().zone;
  array.push_back(default_zone.value());
  for (const Member& member : members) {
    array.push_back(writeMember(member, default_zone));
  }
  return array;
}

std::vector<Member> readMembers(const Json& value) {
  ArrayReader reader(value);
  std::vector<Member> members;
  if (reader.atEnd()) {
    return members;
  }
  const ZoneId default_zone = reader.name<ZoneId>();
  while (!reader.atEnd()) {
    members.push_back(readMember(reader.next(), default_zone));
  }
  return members;
}

// ---- Zones ----

Json writeSummary(const ZoneSummary& summary) {
  return {summary.zone.value(), summary.node_count, writeMembers(summary.contacts)};
}

ZoneSummary readSummary(const Json& value) {
  ArrayReader reader(value);
  ZoneSummary summary;
  summary.zone = reader.name<ZoneId>();
  summary.node_count = reader.number();
  summary.contacts = readMembers(reader.next());
  reader.finish();
  return summary;
}

Json writeOptionalSummary(const std::optional<ZoneSummary>& summary) {
  return summary ? writeSummary(*summary) : Json();
}

std::optional<ZoneSummary> readOptionalSummary(const Json& value) {
  if (value.is_null()) {
    return std::nullopt;
  }
  return readSummary(value);
}

Json writeReport(const ZoneReport& report) {
  return {report.reporter.value(), report.reporter_incarnation.value(), report.sequence,
          report.reachable ? 1U : 0U, writeSummary(report.summary)};
}

ZoneReport readReport(const Json& value) {
  ArrayReader reader(value);
  ZoneReport report;
  report.reporter = reader.name<NodeId>();
  report.reporter_incarnation = Incarnation(reader.number());
  report.sequence = reader.number();
  report.reachable = reader.boolean();
  report.summary = readSummary(reader.next());
  reader.finish();
  return report;
}

/// Appends the updates to the message's array: nothing, the members, or the members and the
/// reports.
void appendUpdates(Json& array, const Updates& updates) {
  if (updates.empty()) {
    return;
  }
  array.push_back(writeMembers(updates.members));
  if (updates.reports.empty()) {
    return;
  }
  Json reports = Json::array();
  for (const ZoneReport& report : updates.reports) {
    reports.push_back(writeReport(report));
  }
  array.push_back(std::move(reports));
}

Updates readUpdates(ArrayReader& reader) {
  Updates updates;
  if (!reader.atEnd()) {
    updates.members = readMembers(reader.next());
  }
  if (!reader.atEnd()) {
    ArrayReader reports(reader.next());
    while (!reports.atEnd()) {
      updates.reports.push_back(readReport(reports.next()));
    }
  }
  return updates;
}

// ---- Messages ----

enum class Type : std::uint8_t {
  kPing,
  kAck,
  kPingRequest,
  kGossip,
  kJoinRequest,
  kJoinDeferred,
  kSyncRequest,
  kTablePage,
  kZoneProbe,
  kZoneAnswer,
  kEnd,
};

Json begin(Type type) { return Json::array({static_cast<std::uint64_t>(type)}); }

template <typename Probe>
Json writeProbe(Type type, const Probe& probe) {
  Json array = begin(type);
  array.push_back(probe.sequence);
  array.push_back(probe.table_digest);
  appendUpdates(array, probe.updates);
  return array;
}

template <typename Probe>
Probe readProbe(ArrayReader& reader) {
  Probe probe;
  probe.sequence = reader.number32();
  probe.table_digest = reader.number32();
  probe.updates = readUpdates(reader);
  return probe;
}

Json write(const Ping& ping) { return writeProbe(Type::kPing, ping); }
Json write(const Ack& ack) { return writeProbe(Type::kAck, ack); }

Json write(const PingRequest& request) {
  Json array = begin(Type::kPingRequest);
  array.push_back(request.sequence);
  array.push_back(request.target.value());
  return array;
}

PingRequest readPingRequest(ArrayReader& reader) {
  PingRequest request;
  request.sequence = reader.number32();
  request.target = reader.name<NodeId>();
  return request;
}

Json write(const Gossip& gossip) {
  Json array = begin(Type::kGossip);
  appendUpdates(array, gossip.updates);
  return array;
}

Json write(const JoinRequest& request) {
  Json array = begin(Type::kJoinRequest);
  array.push_back(writeMembers({request.joiner}));
  return array;
}

JoinRequest readJoinRequest(ArrayReader& reader) {
  std::vector<Member> members = readMembers(reader.next());
  require(members.size() == 1);
  return JoinRequest{std::move(members.front())};
}

Json write(const JoinDeferred& deferred) {
  Json array = begin(Type::kJoinDeferred);
  array.push_back(static_cast<std::uint64_t>(toMilliseconds(deferred.retry_after)));
  return array;
}

JoinDeferred readJoinDeferred(ArrayReader& reader) {
  return JoinDeferred{std::chrono::milliseconds(reader.number32())};
}

Json write(const SyncRequest& request) {
  Json array = begin(Type::kSyncRequest);
  array.push_back(request.sequence);
  array.push_back(request.table_digest);
  return array;
}

SyncRequest readSyncRequest(ArrayReader& reader) {
  SyncRequest request;
  request.sequence = reader.number32();
  request.table_digest = reader.number32();
  return request;
}

Json write(const TablePage& page) {
  Json array = begin(Type::kTablePage);
  array.push_back(page.sequence);
  array.push_back(page.last ? 1U : 0U);
  array.push_back(page.send_back ? 1U : 0U);
  appendUpdates(array, page.table);
  return array;
}

TablePage readTablePage(ArrayReader& reader) {
  TablePage page;
  page.sequence = reader.number32();
  page.last = reader.boolean();
  page.send_back = reader.boolean();
  page.table = readUpdates(reader);
  return page;
}

Json write(const ZoneProbe& probe) {
  Json array = begin(Type::kZoneProbe);
  array.push_back(probe.sequence);
  array.push_back(probe.known_digest);
  array.push_back(writeOptionalSummary(probe.introduction));
  return array;
}

ZoneProbe readZoneProbe(ArrayReader& reader) {
  ZoneProbe probe;
  probe.sequence = reader.number32();
  probe.known_digest = reader.number32();
  probe.introduction = readOptionalSummary(reader.next());
  return probe;
}

Json write(const ZoneAnswer& answer) {
  Json array = begin(Type::kZoneAnswer);
  array.push_back(answer.sequence);
  array.push_back(answer.zone.value());
  array.push_back(writeOptionalSummary(answer.summary));
  for (const ZoneSummary& other : answer.others) {
    array.push_back(writeSummary(other));
  }
  return array;
}

ZoneAnswer readZoneAnswer(ArrayReader& reader) {
  ZoneAnswer answer;
  answer.sequence = reader.number32();
  answer.zone = reader.name<ZoneId>();
  answer.summary = readOptionalSummary(reader.next());
  while (!reader.atEnd()) {
    answer.others.push_back(readSummary(reader.next()));
  }
  return answer;
}

Message readMessage(const Json& value) {
  ArrayReader reader(value);
  const auto type = static_cast<Type>(reader.number(static_cast<std::uint64_t>(Type::kEnd)));
  const auto finish = [&reader](auto message) {
    reader.finish();
    return Message(std::move(message));
  };
  switch (type) {
    case Type::kPing:
      return finish(readProbe<Ping>(reader));
    case Type::kAck:
      return finish(readProbe<Ack>(reader));
    case Type::kPingRequest:
      return finish(readPingRequest(reader));
    case Type::kGossip:
      return finish(Gossip{readUpdates(reader)});
    case Type::kJoinRequest:
      return finish(readJoinRequest(reader));
    case Type::kJoinDeferred:
      return finish(readJoinDeferred(reader));
    case Type::kSyncRequest:
      return finish(readSyncRequest(reader));
    case Type::kTablePage:
      return finish(readTablePage(reader));
    case Type::kZoneProbe:
      return finish(readZoneProbe(reader));
    case Type::kZoneAnswer:
      return finish(readZoneAnswer(reader));
    case Type::kEnd:
      break;
  }
  throw Malformed{};
}

Error malformed() {
  return {ErrorKind::kMalformed, "bytes are not a membership message",
          "check that all nodes run compatible versions of coursepond"};
}

}  // namespace

std::string encodeMessage(const Message& message) {
  std::string bytes;
  Json::to_cbor(std::visit([](const auto& typed) { return write(typed); }, message), bytes);
  return bytes;
}

Result<Message> decodeMessage(std::string_view bytes) {
  const std::optional<Json> value = parseCbor(bytes);
  if (!value) {
    return malformed();
  }
  try {
    return readMessage(*value);
  } catch (const Malformed&) {
    return malformed();
  }
}

std::string_view messageName(const Message& message) {
  static constexpr std::string_view kNames[] = {
      "ping",          "ack",          "ping_request", "gossip",     "join_request",
      "join_deferred", "sync_request", "table_page",   "zone_probe", "zone_answer"};
  static_assert(std::size(kNames) == std::variant_size_v<Message>);
  return kNames[message.index()];
}

}  // namespace coursepond::membership
