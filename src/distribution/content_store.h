#pragma once

/// Stores the few full configurations a node holds, and caches their encoded forms for peers.

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "distribution/messages.h"
#include "model/configuration.h"

namespace coursepond::distribution {

using ConfigurationPointer = std::shared_ptr<const model::Configuration>;

class ContentStore {
 public:
  /// `size_limit`: maximum size of one content after decompression, in bytes.
  explicit ContentStore(std::size_t size_limit) : size_limit_(size_limit) {}

  /// Adds a configuration whose digest the caller has computed.
  void add(const ContentId& id, model::Configuration configuration);

  /// Decodes content from a peer and adds it if it matches `id`. On failure the store is unchanged.
  /// Errors: kMalformed, kTooLarge, kBaseMismatch (the base of the delta is not held) or
  /// kDigestMismatch.
  Result<ConfigurationPointer> addFull(const ContentId& id, const ContentFull& full);
  Result<ConfigurationPointer> addDelta(const ContentId& id, const ContentDelta& delta);

  /// Returns null if the content is not held.
  ConfigurationPointer find(const ContentId& id) const;
  /// Returns the content of a version; if two contents have this version, the one with the greater
  /// digest.
  ConfigurationPointer findVersion(Version version) const;
  bool holds(const ContentId& id) const { return find(id) != nullptr; }
  /// Returns the full id of the held content that has this short id.
  std::optional<ContentId> idOf(const ShortContentId& content) const;
  /// Returns the ids of all contents held, oldest first.
  std::vector<ContentId> ids() const;

  /// Returns the delta between two held contents. It is encoded once and cached with the target.
  /// Returns nothing if either content is missing or the delta would be larger than the full
  /// content.
  std::optional<ContentDelta> delta(const ContentId& base, const ContentId& target);
  /// Returns the full content. It is compressed once and cached. The content must be held.
  ContentFull full(const ContentId& id);

  /// Drops the oldest contents until `kept` are left, but never the protected ones.
  void prune(std::size_t kept, const std::vector<ContentId>& protected_ids);

 private:
  struct Entry {
    ConfigurationPointer configuration;
    std::string compressed;                   ///< Cached compressed text; empty until first needed.
    std::map<ContentId, std::string> deltas;  ///< Cached deltas, by base.
  };

  Result<ConfigurationPointer> addText(const ContentId& id, const Result<std::string>& text);
  const std::string& compressedText(Entry& entry);

  std::size_t size_limit_;
  std::map<ContentId, Entry> entries_;
};

}  // namespace coursepond::distribution
