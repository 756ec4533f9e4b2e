#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/error.h"

namespace coursepond::distribution {

/// Compresses `text` with zstd.
std::string compressText(std::string_view text);

/// Reverses compressText. Returns kTooLarge if the result would exceed `limit` bytes (checked
/// before memory for it is allocated), and kMalformed if the bytes are not compressed text.
Result<std::string> decompressText(std::string_view compressed, std::size_t limit);

/// Compresses `text` with `base` as dictionary. The result is about as small as their difference.
std::string compressPatch(std::string_view base, std::string_view text);

/// Reverses compressPatch, given the same base; fails like decompressText. With a different base
/// the result is a different text or kMalformed, so the caller must check the digest.
Result<std::string> decompressPatch(std::string_view base, std::string_view patch,
                                    std::size_t limit);

}  // namespace coursepond::distribution
