#include "answer_body.h"

#include <cstdint>

namespace coursepond::standin {

namespace {

/// FNV-1a hash of the request id, used as the seed of the generator.
std::uint64_t hashRequestId(std::string_view request_id) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : request_id) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001b3ULL;
  }
  return hash;
}

/// One step of SplitMix64.
std::uint64_t nextRandom(std::uint64_t& state) {
  state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

}  // namespace

std::string makeAnswerBody(std::string_view request_id, std::size_t size) {
  constexpr std::string_view kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+-";
  constexpr unsigned kBitsPerCharacter = 6;
  constexpr unsigned kCharactersPerWord = 10;
  std::string body;
  body.reserve(size + kCharactersPerWord);
  std::uint64_t state = hashRequestId(request_id);
  while (body.size() < size) {
    std::uint64_t word = nextRandom(state);
    for (unsigned index = 0; index < kCharactersPerWord; ++index) {
      body += kAlphabet[word % kAlphabet.size()];
      word >>= kBitsPerCharacter;
    }
  }
  body.resize(size);
  return body;
}

AnswerBodyCheck checkAnswerBody(std::string_view request_id, std::size_t size,
                                std::string_view body) {
  const std::string expected = makeAnswerBody(request_id, size);
  if (body == expected) return AnswerBodyCheck::kRight;
  const bool is_beginning =
      body.size() < size && body == std::string_view(expected).substr(0, body.size());
  return is_beginning ? AnswerBodyCheck::kShort : AnswerBodyCheck::kForeign;
}

}  // namespace coursepond::standin
