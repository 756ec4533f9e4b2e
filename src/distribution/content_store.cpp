#include "distribution/content_store.h"

#include <algorithm>
#include <utility>

#include "distribution/compression.h"
#include "model/document.h"

namespace coursepond::distribution {

void ContentStore::add(const ContentId& id, model::Configuration configuration) {
  if (holds(id)) return;
  entries_[id].configuration =
      std::make_shared<const model::Configuration>(std::move(configuration));
}

Result<ConfigurationPointer> ContentStore::addFull(const ContentId& id, const ContentFull& full) {
  return addText(id, decompressText(full.compressed, size_limit_));
}

Result<ConfigurationPointer> ContentStore::addDelta(const ContentId& id,
                                                    const ContentDelta& delta) {
  const std::optional<ContentId> base = idOf(delta.base);
  if (!base) {
    return Error{ErrorKind::kBaseMismatch, "the base of a delta is not held",
                 "none needed: the full content is fetched instead"};
  }
  const std::string base_text = model::canonicalText(*find(*base));
  return addText(id, decompressPatch(base_text, delta.compressed, size_limit_));
}

ConfigurationPointer ContentStore::find(const ContentId& id) const {
  const auto entry = entries_.find(id);
  return entry == entries_.end() ? nullptr : entry->second.configuration;
}

ConfigurationPointer ContentStore::findVersion(Version version) const {
  ConfigurationPointer found;
  for (const auto& [id, entry] : entries_) {
    if (id.version == version) found = entry.configuration;
  }
  return found;
}

std::optional<ContentId> ContentStore::idOf(const ShortContentId& content) const {
  for (const auto& [id, entry] : entries_) {
    if (shortened(id) == content) return id;
  }
  return std::nullopt;
}

std::vector<ContentId> ContentStore::ids() const {
  std::vector<ContentId> ids;
  for (const auto& [id, entry] : entries_) ids.push_back(id);
  return ids;
}

std::optional<ContentDelta> ContentStore::delta(const ContentId& base, const ContentId& target) {
  const auto base_entry = entries_.find(base);
  const auto target_entry = entries_.find(target);
  if (base_entry == entries_.end() || target_entry == entries_.end()) return std::nullopt;

  std::string& encoded = target_entry->second.deltas[base];
  if (encoded.empty()) {
    encoded = compressPatch(model::canonicalText(*base_entry->second.configuration),
                            model::canonicalText(*target_entry->second.configuration));
  }
  if (encoded.size() > compressedText(target_entry->second).size()) return std::nullopt;
  return ContentDelta{shortened(target), shortened(base), encoded};
}

ContentFull ContentStore::full(const ContentId& id) {
  return ContentFull{shortened(id), compressedText(entries_.at(id))};
}

void ContentStore::prune(std::size_t kept, const std::vector<ContentId>& protected_ids) {
  for (auto entry = entries_.begin(); entry != entries_.end() && entries_.size() > kept;) {
    const bool keep =
        std::find(protected_ids.begin(), protected_ids.end(), entry->first) != protected_ids.end();
    entry = keep ? std::next(entry) : entries_.erase(entry);
  }
  for (auto& [id, entry] : entries_) {
    std::erase_if(entry.deltas, [this](const auto& delta) { return !holds(delta.first); });
  }
}

Result<ConfigurationPointer> ContentStore::addText(const ContentId& id,
                                                   const Result<std::string>& text) {
  if (!text) return text.error();
  // The digest of content is the digest of its canonical text.
  if (Digest::of(*text) != id.digest) {
    return Error{
        ErrorKind::kDigestMismatch,
        "content of version " + std::to_string(id.version.value()) + " does not match its digest",
        "none needed: another peer is asked; if the error persists, replace the peer"};
  }
  Result<model::Configuration> configuration = model::parseCanonical(id.version, *text);
  if (!configuration) return configuration.error();
  add(id, std::move(*configuration));
  return find(id);
}

const std::string& ContentStore::compressedText(Entry& entry) {
  if (entry.compressed.empty()) {
    entry.compressed = compressText(model::canonicalText(*entry.configuration));
  }
  return entry.compressed;
}

}  // namespace coursepond::distribution
