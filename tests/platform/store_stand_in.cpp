#include "store_stand_in.h"

#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace coursepond::platform {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kBusy = 503;
constexpr std::string_view kRange = "/-/kv-range";
constexpr std::string_view kWatch = "/-/kv-watch";

std::string encodeBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(bytes.data()),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

/// Returns `key` as a JSON string. Bytes that are not UTF-8 are written as they are.
std::string quotedKey(const std::string& key) {
  constexpr char kHexDigits[] = "0123456789abcdef";
  std::string text = "\"";
  for (const char character : key) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < ' ') {
      text += "\\u00";
      text += kHexDigits[byte >> 4];
      text += kHexDigits[byte & 0xF];
      continue;
    }
    if (character == '"' || character == '\\') text += '\\';
    text += character;
  }
  return text + "\"";
}

std::string joined(const std::vector<std::string>& texts) {
  std::string all;
  for (const std::string& text : texts) all += (all.empty() ? "" : ",") + text;
  return all;
}

/// Decodes a part of a query, in which "+" stands for a blank. Nothing if an escape is malformed.
std::optional<std::string> decodeQuery(std::string_view text) {
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] != '%') {
      decoded += text[index] == '+' ? ' ' : text[index];
      continue;
    }
    const std::string_view digits = text.substr(index + 1, 2);
    unsigned byte = 0;
    const auto [end, status] =
        std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
    const bool is_whole = status == std::errc() && end == digits.data() + 2;
    if (!is_whole) return std::nullopt;
    decoded += static_cast<char>(byte);
    index += 2;
  }
  return decoded;
}

using Query = std::map<std::string, std::string>;

/// Returns the parameters of the query, up to a fragment. Nothing if an escape is malformed.
std::optional<Query> queryOf(std::string_view target) {
  target = target.substr(0, target.find('#'));
  std::string_view rest = target.substr(std::min(target.find('?'), target.size()));
  Query query;
  while (!rest.empty()) {
    rest.remove_prefix(1);  // The "?" or "&" before it.
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const auto name = decodeQuery(pair.substr(0, equals));
    const auto value = decodeQuery(pair.substr(std::min(equals + 1, pair.size())));
    if (!name || !value) return std::nullopt;
    query.emplace(*name, *value);
    rest.remove_prefix(pair.size());
  }
  return query;
}

std::uint64_t numberIn(const Query& query, const std::string& name) {
  const auto found = query.find(name);
  if (found == query.end()) return 0;
  const std::string& text = found->second;
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string textIn(const Query& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

}  // namespace

void StoreStandIn::answer(const runtime::HttpResponder& responder, int status,
                          std::string body) const {
  runtime::HttpResponse response;
  response.status = status;
  response.headers.push_back({"Store-Era", std::to_string(era_)});
  response.body = std::move(body);
  responder.respond(std::move(response));
}

StoreStandIn::StoreStandIn(boost::asio::io_context& context, const Address& listen)
    : context_(context) {
  auto server = runtime::HttpServer::create(
      context, listen, {},
      [this](const runtime::HttpRequest& request, const runtime::HttpResponder& responder) {
        serve(request, responder);
      });
  if (!server) throw std::runtime_error(describe(server.error()));
  server_ = std::move(*server);
}

void StoreStandIn::put(const std::string& key, const std::string& value) {
  items_[key] = Item{value, revision_ + 1};
  record({key, revision_ + 1, value});
}

void StoreStandIn::remove(const std::string& key) {
  items_.erase(key);
  record({key, revision_ + 1, std::nullopt});
}

const std::string* StoreStandIn::find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second.value;
}

std::vector<std::string> StoreStandIn::keys(std::string_view prefix) const {
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix)) keys.push_back(key);
  }
  return keys;
}

void StoreStandIn::touch(const std::string& key, const std::string& value) {
  items_.at(key).value = value;
}

void StoreStandIn::forgetHistory() {
  forgotten_ = revision_;
  events_.clear();
}

void StoreStandIn::setTrouble(StoreTrouble trouble) {
  trouble_ = trouble;
  if (trouble_ == StoreTrouble::kNone) answerWatchers();
}

void StoreStandIn::record(Event event) {
  revision_ = event.revision;
  events_.push_back(std::move(event));
  if (trouble_ != StoreTrouble::kSilent) answerWatchers();
}

void StoreStandIn::cutWatches() {
  for (const Watcher& watcher : std::exchange(watchers_, {})) watcher.responder.cut();
}

std::shared_ptr<const StoreStandIn::Copy> StoreStandIn::copy() const {
  return std::make_shared<const Copy>(Copy{items_, events_, revision_, forgotten_});
}

void StoreStandIn::restore(const Copy& copy) {
  cutWatches();
  items_ = copy.items;
  events_ = copy.events;
  revision_ = copy.revision;
  forgotten_ = copy.forgotten;
  ++era_;
}

void StoreStandIn::answerWatchers() {
  for (const Watcher& watcher : std::exchange(watchers_, {})) {
    if (!hasEventAfter(watcher.after, watcher.prefix)) {
      watchers_.push_back(watcher);
    } else if (watcher.after < forgotten_) {
      answer(watcher.responder, kGone, "");
    } else {
      answer(watcher.responder, kOk, eventsAfter(watcher.after, watcher.prefix));
    }
  }
}

void StoreStandIn::onWaitOver(const std::shared_ptr<boost::asio::steady_timer>& timer) {
  const auto found =
      std::find_if(watchers_.begin(), watchers_.end(),
                   [&timer](const Watcher& watcher) { return watcher.timer == timer; });
  if (found == watchers_.end()) return;
  const Watcher watcher = *found;
  watchers_.erase(found);
  if (trouble_ == StoreTrouble::kSilent) return unanswered_.push_back(watcher.responder);
  answer(watcher.responder, kOk, eventsAfter(std::max(watcher.after, forgotten_), watcher.prefix));
}

void StoreStandIn::serve(const runtime::HttpRequest& request,
                         const runtime::HttpResponder& responder) {
  ++reads_;
  if (delay_ == Duration(0)) return serveNow(request.target, responder);
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay_);
  timer->async_wait([this, timer, target = request.target, responder](auto status) {
    if (!status) serveNow(target, responder);
  });
}

void StoreStandIn::serveNow(const std::string& target, const runtime::HttpResponder& responder) {
  switch (trouble_) {
    case StoreTrouble::kBusy:
      return answer(responder, kBusy, "");
    case StoreTrouble::kThrottled:
      return answer(responder, kTooMany, "");
    case StoreTrouble::kSilent:
      return unanswered_.push_back(responder);
    case StoreTrouble::kReset:
      return responder.cut();
    case StoreTrouble::kGarbled:
      return answer(responder, kOk, "{\"timestamp\":");
    case StoreTrouble::kNone:
      break;
  }
  if (target.starts_with(kRange)) return serveRange(target, responder);
  if (target.starts_with(kWatch)) return serveWatch(target, responder);
  answer(responder, 404, "");
}

void StoreStandIn::serveRange(std::string_view target, const runtime::HttpResponder& responder) {
  const std::optional<Query> query = queryOf(target);
  if (!query) return answer(responder, kBadRequest, "");
  const std::string after = ignores_after_ ? "" : textIn(*query, "after");
  const std::string prefix = textIn(*query, "path_prefix");
  std::vector<std::string> items;
  bool has_more = false;
  for (const auto& [key, item] : items_) {
    if ((!after.empty() && key <= after) || !key.starts_with(prefix)) continue;
    has_more = items.size() == page_size_;
    if (has_more) break;
    const std::string key_field =
        hidden_keys_.contains(key) ? "" : "\"private_key\":" + quotedKey(key) + ",";
    items.push_back("{" + key_field + "\"value\":\"" + encodeBase64(item.value) +
                    "\",\"revision\":" + std::to_string(item.revision) + "}");
  }
  answer(responder, kOk,
         "{\"items\":[" + joined(items) + "],\"has_more\":" + (has_more ? "true" : "false") +
             ",\"timestamp\":" + std::to_string(revision_) + "}");
}

void StoreStandIn::serveWatch(std::string_view target, const runtime::HttpResponder& responder) {
  const std::optional<Query> query = queryOf(target);
  if (!query) return answer(responder, kBadRequest, "");
  const std::uint64_t after = numberIn(*query, "after");
  if (after < forgotten_ || after > revision_) return answer(responder, kGone, "");
  const auto wait = std::chrono::milliseconds(numberIn(*query, "wait_ms"));
  const bool waits = wait > std::chrono::milliseconds(0);
  const std::string prefix = textIn(*query, "path_prefix");
  if (hasEventAfter(after, prefix) || !waits) {
    return answer(responder, kOk, eventsAfter(after, prefix));
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_, wait);
  watchers_.push_back({after, prefix, responder, timer});
  timer->async_wait([this, timer](auto status) {
    if (!status) onWaitOver(timer);
  });
}

bool StoreStandIn::hasEventAfter(std::uint64_t revision, std::string_view prefix) const {
  return std::any_of(events_.begin(), events_.end(), [&](const Event& event) {
    return event.revision > revision && event.key.starts_with(prefix);
  });
}

std::string StoreStandIn::eventsAfter(std::uint64_t revision, std::string_view prefix) const {
  std::vector<std::string> events;
  for (const Event& event : events_) {
    if (event.revision <= revision || !event.key.starts_with(prefix)) continue;
    const std::string change =
        event.value ? "\"value\":\"" + encodeBase64(*event.value) + "\"" : "\"gone\":true";
    events.push_back("{\"private_key\":" + quotedKey(event.key) +
                     ",\"revision\":" + std::to_string(event.revision) + "," + change + "}");
  }
  return "{\"events\":[" + joined(events) + "],\"timestamp\":" + std::to_string(revision_) + "}";
}

}  // namespace coursepond::platform
