#pragma once

/// Comparison and classification of characters in protocol names. ASCII only and independent of the
/// locale.

#include <string_view>

namespace coursepond {

/// Returns true if the texts are equal, ignoring the case of ASCII letters.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Returns true if `text` starts with `prefix`, ignoring the case of ASCII letters.
inline bool startsWithIgnoringCase(std::string_view text, std::string_view prefix) {
  return equalsIgnoringCase(text.substr(0, prefix.size()), prefix);
}

inline bool isLetterOrDigit(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9');
}

}  // namespace coursepond
