#include "core/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <boost/algorithm/hex.hpp>

namespace coursepond {
namespace {

constexpr char kRemedy[] = "send the SHA-256 digest as 64 hexadecimal digits or 32 bytes";

}  // namespace

Digest Digest::of(std::string_view bytes) {
  Digest digest;
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.bytes_.data(), &size, EVP_sha256(), nullptr);
  return digest;
}

DigestBuilder::DigestBuilder() : context_(EVP_MD_CTX_new()) {
  EVP_DigestInit_ex(context_.get(), EVP_sha256(), nullptr);
}

void DigestBuilder::add(std::string_view piece) {
  EVP_DigestUpdate(context_.get(), piece.data(), piece.size());
}

Digest DigestBuilder::digest() const {
  // Finishing a context ends it, so a copy is finished.
  const std::unique_ptr<EVP_MD_CTX, ContextDeleter> copy(EVP_MD_CTX_new());
  EVP_MD_CTX_copy_ex(copy.get(), context_.get());
  Digest digest;
  EVP_DigestFinal_ex(copy.get(), digest.bytes_.data(), nullptr);
  return digest;
}

void DigestBuilder::ContextDeleter::operator()(EVP_MD_CTX* context) const {
  EVP_MD_CTX_free(context);
}

Result<Digest> Digest::fromHex(std::string_view text) {
  std::string raw;
  try {
    boost::algorithm::unhex(text.begin(), text.end(), std::back_inserter(raw));
  } catch (const boost::algorithm::hex_decode_error&) {
    return Error{ErrorKind::kMalformed,
                 "a digest contains a character that is not a hexadecimal digit", kRemedy};
  }
  return fromBytes(raw);
}

Result<Digest> Digest::fromBytes(std::string_view bytes) {
  if (bytes.size() != kSize) {
    return Error{ErrorKind::kMalformed,
                 "a digest has " + std::to_string(bytes.size()) + " bytes, not 32", kRemedy};
  }
  Digest digest;
  std::copy(bytes.begin(), bytes.end(), digest.bytes_.begin());
  return digest;
}

std::string Digest::toHex() const {
  std::string text;
  boost::algorithm::hex_lower(bytes_.begin(), bytes_.end(), std::back_inserter(text));
  return text;
}

bool Digest::equalsInConstantTime(const Digest& other) const {
  return CRYPTO_memcmp(bytes_.data(), other.bytes_.data(), kSize) == 0;
}

std::string Digest::bytes() const { return {bytes_.begin(), bytes_.end()}; }

}  // namespace coursepond
