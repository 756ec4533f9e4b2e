#include "admin/messages.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "distribution/cbor_array_reader.h"
#include "distribution/cbor_message.h"
#include "membership/cbor.h"

namespace coursepond::admin {
namespace {

using Json = nlohmann::json;
using distribution::CborArrayReader;
using distribution::ProxyState;
using model::DocumentMistake;

constexpr std::size_t kNameLimit = 256;
constexpr std::size_t kTextLimit = 1024;     ///< Bytes of one message or remedy; the rest is cut.
constexpr std::size_t kMistakeLimit = 64;    ///< Mistakes in one answer; further ones are omitted.
constexpr std::size_t kProxyLimit = 10'000;  ///< Proxies in one answer.
constexpr std::size_t kMessageLimit = 4U << 20U;

constexpr std::array<std::string_view, std::variant_size_v<Message>> kNames = {
    "fetch_request", "fetch_answer", "proxy_states_request", "proxy_states_answer"};

std::string cut(const std::string& text) { return text.substr(0, kTextLimit); }

Json write(const DocumentMistake& mistake) {
  return Json::array({cut(mistake.path), static_cast<std::uint64_t>(mistake.error.kind),
                      cut(mistake.error.message), cut(mistake.error.remedy)});
}

DocumentMistake readMistake(const Json& array, CborArrayReader& outer) {
  CborArrayReader reader(array);
  DocumentMistake mistake;
  mistake.path = reader.text(kTextLimit);
  const auto last = static_cast<std::uint64_t>(ErrorKind::kTimeout);
  const std::uint64_t kind = reader.numberUpTo(last);
  mistake.error.kind = static_cast<ErrorKind>(std::max<std::uint64_t>(kind, 1));
  mistake.error.message = reader.text(kTextLimit);
  mistake.error.remedy = reader.text(kTextLimit);
  if (!reader.finished() || kind == 0) {
    outer.fail();
  }
  return mistake;
}

Json write(const ProxyState& proxy) {
  return Json::array({proxy.node.value(), proxy.zone.value(), proxy.in_force.value(),
                      proxy.accepted.value(), proxy.staged.value(), cut(proxy.last_error)});
}

ProxyState readProxy(const Json& array, CborArrayReader& outer) {
  CborArrayReader reader(array);
  ProxyState proxy;
  proxy.node = NodeId(reader.text(kNameLimit));
  proxy.zone = ZoneId(reader.text(kNameLimit));
  proxy.in_force = Version(reader.number());
  proxy.accepted = Version(reader.number());
  proxy.staged = Version(reader.number());
  proxy.last_error = reader.text(kTextLimit);
  if (!reader.finished()) {
    outer.fail();
  }
  return proxy;
}

template <typename Item>
Json writeList(const std::vector<Item>& items, std::size_t limit) {
  Json list = Json::array();
  for (std::size_t i = 0; i < std::min(items.size(), limit); ++i) {
    list.push_back(write(items[i]));
  }
  return list;
}

template <typename ReadItem>
auto readList(CborArrayReader& reader, std::size_t limit, ReadItem read_item) {
  std::vector<decltype(read_item(Json(), reader))> items;
  for (const Json& item : reader.array(limit)) {
    if (!item.is_array()) {
      reader.fail();
      break;
    }
    items.push_back(read_item(item, reader));
  }
  return items;
}

void appendBody(Json& out, const FetchRequest& message) {
  out.push_back(message.number);
  out.push_back(message.version.value());
  out.push_back(message.relay);
}

void appendBody(Json& out, const FetchAnswer& message) {
  out.push_back(message.number);
  out.push_back(message.version.value());
  out.push_back(writeList(message.mistakes, kMistakeLimit));
}

void appendBody(Json& out, const ProxyStatesRequest& message) { out.push_back(message.number); }

void appendBody(Json& out, const ProxyStatesAnswer& message) {
  out.push_back(message.number);
  out.push_back(writeList(message.proxies, kProxyLimit));
}

Message readFetchRequest(CborArrayReader& reader) {
  FetchRequest message;
  message.number = reader.number();
  message.version = Version(reader.number());
  message.relay = reader.flag();
  return message;
}

Message readFetchAnswer(CborArrayReader& reader) {
  FetchAnswer message;
  message.number = reader.number();
  message.version = Version(reader.number());
  message.mistakes = readList(reader, kMistakeLimit, readMistake);
  return message;
}

Message readProxyStatesRequest(CborArrayReader& reader) {
  return ProxyStatesRequest{reader.number()};
}

Message readProxyStatesAnswer(CborArrayReader& reader) {
  ProxyStatesAnswer message;
  message.number = reader.number();
  message.proxies = readList(reader, kProxyLimit, readProxy);
  return message;
}

using ReadFunction = Message (*)(CborArrayReader&);
constexpr std::array<ReadFunction, kNames.size()> kReaders = {
    readFetchRequest, readFetchAnswer, readProxyStatesRequest, readProxyStatesAnswer};

}  // namespace

std::string encodeAdminMessage(const Message& message) {
  Json out = Json::array();
  out.push_back(message.index());
  std::visit([&out](const auto& body) { appendBody(out, body); }, message);
  std::string bytes;
  Json::to_cbor(out, bytes);
  return bytes;
}

Result<Message> decodeAdminMessage(std::string_view bytes) {
  return distribution::decodeCborMessage(bytes, kMessageLimit, "operator", kReaders, kNames);
}

std::string_view messageName(const Message& message) { return kNames[message.index()]; }

}  // namespace coursepond::admin
