#include "store_stand_in.h"

#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace coursepond::platform {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
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

/// Returns the value of a parameter of the query, or an empty string.
std::string_view parameter(std::string_view target, std::string_view name) {
  std::string_view rest = target.substr(std::min(target.find('?'), target.size()));
  while (!rest.empty()) {
    rest.remove_prefix(1);  // The "?" or "&" before it.
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) return pair.substr(std::min(equals + 1, pair.size()));
    rest.remove_prefix(pair.size());
  }
  return {};
}

std::uint64_t numberParameter(std::string_view target, std::string_view name) {
  const std::string_view text = parameter(target, name);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
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
  const std::string after(parameter(target, "after"));
  const std::string_view prefix = parameter(target, "path_prefix");
  Json page = {{"items", Json::array()}, {"has_more", false}, {"timestamp", revision_}};
  for (const auto& [key, item] : items_) {
    if ((!after.empty() && key <= after) || !key.starts_with(prefix)) continue;
    if (page["items"].size() == page_size_) {
      page["has_more"] = true;
      break;
    }
    page["items"].push_back(
        {{"private_key", key}, {"value", encodeBase64(item.value)}, {"revision", item.revision}});
  }
  answer(responder, kOk, page.dump());
}

void StoreStandIn::serveWatch(std::string_view target, const runtime::HttpResponder& responder) {
  const std::uint64_t after = numberParameter(target, "after");
  if (after < forgotten_ || after > revision_) return answer(responder, kGone, "");
  const auto wait = std::chrono::milliseconds(numberParameter(target, "wait_ms"));
  const bool waits = wait > std::chrono::milliseconds(0);
  const std::string prefix(parameter(target, "path_prefix"));
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
  Json body = {{"events", Json::array()}, {"timestamp", revision_}};
  for (const Event& event : events_) {
    if (event.revision <= revision || !event.key.starts_with(prefix)) continue;
    Json event_json = {{"private_key", event.key}, {"revision", event.revision}};
    if (event.value) {
      event_json["value"] = encodeBase64(*event.value);
    } else {
      event_json["gone"] = true;
    }
    body["events"].push_back(std::move(event_json));
  }
  return body.dump();
}

}  // namespace coursepond::platform
