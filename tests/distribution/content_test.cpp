#include <doctest/doctest.h>

#include "distribution/compression.h"
#include "distribution/content_store.h"
#include "mesh.h"
#include "model/document.h"

namespace coursepond::distribution::testing {
namespace {

constexpr std::size_t kLimit = 1024 * 1024;

model::Configuration configuration(std::uint64_t version, std::size_t routes = 200) {
  return makeDocument(version, {routes, {ZoneId("z0"), ZoneId("z1")}}).configuration;
}

ContentId idOf(const model::Configuration& configuration) {
  return {configuration.version, model::contentDigest(configuration)};
}

/// Returns a store that holds these versions.
ContentStore storeWith(const std::vector<std::uint64_t>& versions) {
  ContentStore store(kLimit);
  for (const std::uint64_t version : versions) {
    store.add(idOf(configuration(version)), configuration(version));
  }
  return store;
}

}  // namespace

TEST_CASE("the size of a patch is proportional to the change") {
  const std::string base = model::canonicalText(configuration(11, 2000));
  const std::string text = model::canonicalText(configuration(12, 2000));
  const std::string patch = compressPatch(base, text);
  CHECK(patch.size() < 200);
  CHECK(decompressPatch(base, patch, kLimit).value() == text);
}

TEST_CASE("text that exceeds the limit after decompression is rejected") {
  const std::string compressed = compressText(std::string(kLimit + 1, 'a'));
  CHECK(compressed.size() < 1000);
  CHECK(decompressText(compressed, kLimit).error().kind == ErrorKind::kTooLarge);
  CHECK(decompressText("not compressed", kLimit).error().kind == ErrorKind::kMalformed);
  CHECK(decompressText("", kLimit).error().kind == ErrorKind::kMalformed);
}

TEST_CASE("full contents and deltas restore the configuration") {
  ContentStore source = storeWith({1, 2});
  const ContentId first = idOf(configuration(1));
  const ContentId second = idOf(configuration(2));
  ContentStore store(kLimit);
  REQUIRE(store.addFull(first, source.full(first)).has_value());
  REQUIRE(store.addDelta(second, *source.delta(first, second)).has_value());
  CHECK(*store.find(second) == configuration(2));
}

TEST_CASE("a wrong digest, corrupt content or a missing base leaves the store unchanged") {
  ContentStore source = storeWith({1, 2});
  const ContentId first = idOf(configuration(1));
  const ContentId second = idOf(configuration(2));
  ContentStore store(kLimit);
  CHECK(store.addFull(second, source.full(first)).error().kind == ErrorKind::kDigestMismatch);
  CHECK(store.addDelta(second, *source.delta(first, second)).error().kind ==
        ErrorKind::kBaseMismatch);
  ContentFull damaged = source.full(first);
  for (std::size_t place = 0; place < damaged.compressed.size(); ++place) {
    ContentFull copy = damaged;
    copy.compressed[place] = static_cast<char>(copy.compressed[place] ^ 0x55);
    const auto added = store.addFull(first, copy);
    // A changed byte may leave the decompressed text intact (an unprotected flag in the frame
    // header), but must never produce a different text.
    if (added.has_value()) CHECK(**added == configuration(1));
    store.prune(0, {});
  }
  CHECK(store.ids().empty());
}

TEST_CASE("pruning keeps the protected and the newest contents") {
  ContentStore store = storeWith({1, 2, 3, 4, 5, 6});
  store.prune(3, {idOf(configuration(1))});
  const std::vector<ContentId> ids = store.ids();
  REQUIRE(ids.size() == 3);
  CHECK(ids[0].version == Version(1));
  CHECK(ids[1].version == Version(5));
  CHECK(ids[2].version == Version(6));
}

}  // namespace coursepond::distribution::testing
