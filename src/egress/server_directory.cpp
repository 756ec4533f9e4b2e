#include "egress/server_directory.h"

#include <algorithm>

#include "model/unlisted.h"

namespace coursepond::egress {
namespace {

/// How long an instance that is not listed counts as leaving. Its entry may come back, for example
/// with a source that was restored from a copy.
constexpr Duration kUnlistedMarkLife = std::chrono::minutes(10);

}  // namespace

void ServerDirectory::upsert(const model::ServerEntry& entry, TimePoint now) {
  put(entry, now);
  rebuild();
}

void ServerDirectory::remove(const EndpointId& id, TimePoint now) {
  drop(id, now);
  rebuild();
}

void ServerDirectory::update(const std::vector<model::ServerEntry>& entries,
                             const std::vector<EndpointId>& removed, TimePoint now) {
  for (const model::ServerEntry& entry : entries) put(entry, now);
  for (const EndpointId& id : removed) drop(id, now);
  rebuild();
}

void ServerDirectory::replaceAll(const std::vector<model::ServerEntry>& entries, TimePoint now) {
  update(entries, model::unlistedIds(servers_, entries), now);
}

std::optional<TimePoint> ServerDirectory::forgetLapsed(TimePoint now) {
  std::optional<TimePoint> next;
  const std::size_t erased = std::erase_if(servers_, [&](const auto& item) {
    const std::optional<TimePoint>& lapsed_at = item.second->lapsed_at;
    if (!lapsed_at) return false;
    const TimePoint due = *lapsed_at + settings_.lapse_hold;
    if (due <= now) {
      notify(proxy::ServerChange::kForgotten, item.first);
      return true;
    }
    if (!next || due < *next) next = due;
    return false;
  });
  if (erased > 0) rebuild();
  return next;
}

void ServerDirectory::put(const model::ServerEntry& entry, TimePoint now) {
  ServerPointer& server = servers_[entry.id];
  if (server && entry.revision < server->entry.revision) return;
  const bool was_listed = server && !server->lapsed_at;
  const bool was_draining = server && server->draining();
  const bool is_changed = !server || server->entry != entry;
  const bool is_new_start =
      !server || server->entry.address != entry.address || !isSameInstance(server->entry, entry);
  const Duration cold_before = is_new_start ? Duration(0) : server->entry.remaining_warm_up;
  if (is_new_start) server = std::make_shared<Server>();
  if (entry.remaining_warm_up > cold_before) server->cold_until = now + entry.remaining_warm_up;
  server->entry = entry;
  if (is_changed) server->entry_since = now;
  server->lapsed_at.reset();
  server->ingress = {
      entry.id, {entry.address.host, settings_.ingress_port}, entry.zone, entry.state};
  if (server->draining()) {
    if (!was_draining) notify(proxy::ServerChange::kLeaving, entry.id);
  } else if (!was_listed) {
    notify(proxy::ServerChange::kListed, entry.id);
  }
}

void ServerDirectory::drop(const EndpointId& id, TimePoint now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  if (found->second->draining()) {
    servers_.erase(found);
    notify(proxy::ServerChange::kForgotten, id);
  } else if (!found->second->lapsed_at) {
    found->second->lapsed_at = now;
    notify(proxy::ServerChange::kLapsed, id);
  }
}

void ServerDirectory::onSaidLeaving(const Server& server, TimePoint now) {
  const model::ServerEntry& entry = server.entry;
  const bool is_new = !hasSaidLeaving(entry);
  leaving_marks_[entry.id] = {entry.started_ms, now};
  if (!is_new) return;
  notify(proxy::ServerChange::kSaidLeaving, entry.id);
  forgetOldLeavingMarks(now);
  rebuild();
}

bool ServerDirectory::hasSaidLeaving(const model::ServerEntry& entry) const {
  const auto mark = leaving_marks_.find(entry.id);
  return mark != leaving_marks_.end() && mark->second.started_ms == entry.started_ms;
}

void ServerDirectory::forgetOldLeavingMarks(TimePoint now) {
  std::erase_if(leaving_marks_, [&](const auto& mark) {
    return now - mark.second.marked_at >= kUnlistedMarkLife && !servers_.contains(mark.first);
  });
}

const std::vector<ServerPointer>& ServerDirectory::usable(const ServiceName& service) const {
  static const std::vector<ServerPointer> none;
  const auto found = usable_.find(service);
  return found == usable_.end() ? none : found->second;
}

void ServerDirectory::rebuild() {
  usable_.clear();
  std::map<ServiceName, std::vector<ServerPointer>> lapsed;
  for (const auto& [id, server] : servers_) {
    if (server->draining() || hasSaidLeaving(server->entry)) continue;
    (server->lapsed_at ? lapsed : usable_)[server->entry.service].push_back(server);
  }
  // While the source is unavailable, many entries lapse at once. A single entry that lapses while
  // others of its service remain listed most likely belongs to a server that has ended. So lapsed
  // servers are used only for services without any listed server.
  usable_.merge(lapsed);
  for (auto& [service, servers] : usable_) {
    std::sort(servers.begin(), servers.end(),
              [](const ServerPointer& left, const ServerPointer& right) {
                return left->entry.id < right->entry.id;
              });
  }
}

}  // namespace coursepond::egress
