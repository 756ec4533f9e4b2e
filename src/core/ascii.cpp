#include "core/ascii.h"

namespace coursepond {
namespace {

constexpr char lowerCase(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

}  // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  for (std::size_t index = 0; index < left.size(); ++index) {
    if (lowerCase(left[index]) != lowerCase(right[index])) return false;
  }
  return true;
}

}  // namespace coursepond
