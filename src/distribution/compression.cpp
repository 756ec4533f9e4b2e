#include "distribution/compression.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace coursepond::distribution {
namespace {

/// The default level of zstd. Level 6 takes three times as long and saves at most a tenth of the
/// bytes. A node may have only a tenth of a CPU core, so CPU time matters more.
constexpr int kCompressionLevel = 3;
/// Bounds for the zstd window size, as base-2 logarithms of bytes.
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 27;
constexpr char kRemedy[] =
    "ask another peer; if the error persists, run the same release on every node";

struct ContextDeleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};
using CompressionContext = std::unique_ptr<ZSTD_CCtx, ContextDeleter>;
using DecompressionContext = std::unique_ptr<ZSTD_DCtx, ContextDeleter>;

/// Returns the logarithm of a window size that covers `bytes`: from the end of the text back to the
/// start of the base.
int windowLogFor(std::size_t bytes) {
  const int needed = static_cast<int>(std::bit_width(bytes)) + 1;
  return std::clamp(needed, kMinWindowLog, kMaxWindowLog);
}

}  // namespace

std::string compressText(std::string_view text) { return compressPatch({}, text); }

std::string compressPatch(std::string_view base, std::string_view text) {
  const CompressionContext context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  if (!base.empty()) {
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                           windowLogFor(base.size() + text.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  }
  std::string compressed(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size =
      ZSTD_compress2(context.get(), compressed.data(), compressed.size(), text.data(), text.size());
  compressed.resize(ZSTD_isError(size) ? 0 : size);
  return compressed;
}

Result<std::string> decompressText(std::string_view compressed, std::size_t limit) {
  return decompressPatch({}, compressed, limit);
}

Result<std::string> decompressPatch(std::string_view base, std::string_view patch,
                                    std::size_t limit) {
  const unsigned long long size = ZSTD_getFrameContentSize(patch.data(), patch.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Error{ErrorKind::kMalformed, "content received from a peer is not compressed text",
                 kRemedy};
  }
  if (size > limit) {
    return Error{ErrorKind::kTooLarge,
                 "content received from a peer has " + std::to_string(size) + " bytes, more than " +
                     std::to_string(limit),
                 "raise content_size_limit on every node or publish a smaller configuration"};
  }
  const DecompressionContext context(ZSTD_createDCtx());
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMaxWindowLog);
  if (!base.empty()) ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string text(size, '\0');
  const std::size_t written =
      ZSTD_decompressDCtx(context.get(), text.data(), text.size(), patch.data(), patch.size());
  if (ZSTD_isError(written) || written != text.size()) {
    return Error{ErrorKind::kMalformed, "content received from a peer is corrupt", kRemedy};
  }
  return text;
}

}  // namespace coursepond::distribution
