#include "model/name.h"

#include <algorithm>

#include "core/ascii.h"

namespace coursepond::model {
namespace {

constexpr std::size_t kMaxNameBytes = 253;
constexpr std::string_view kOtherCharacters = "._-";

}  // namespace

bool isName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return isLetterOrDigit(character) ||
                  kOtherCharacters.find(character) != std::string_view::npos;
         });
}

}  // namespace coursepond::model
