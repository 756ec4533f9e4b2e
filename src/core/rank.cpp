#include "core/rank.h"

namespace coursepond {
namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;

}  // namespace

std::uint64_t stableHash(std::string_view text) {
  std::uint64_t hash = kFnvOffset;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kFnvPrime;
  }
  return mixBits(hash);
}

std::uint64_t mixBits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

}  // namespace coursepond
