#pragma once

/// Where in the history of a watched source something was told.

#include <compare>
#include <ostream>
#include <string>

#include "core/ids.h"

namespace coursepond {

/// A source numbers its changes by revisions, which rise within an era. A source that was restored
/// from a copy begins the next era: its revisions go back, and are given out again for other
/// changes. Default: nothing was told yet.
struct SourceRevision {
  Era era;  ///< Zero: the source names no eras.
  Generation number;

  constexpr SourceRevision() = default;
  // Implicit: where eras play no part, a source's revision is its number.
  constexpr SourceRevision(Generation the_number) : number(the_number) {}
  constexpr SourceRevision(Era the_era, Generation the_number) : era(the_era), number(the_number) {}

  /// A later era is newer, whatever its number.
  friend constexpr auto operator<=>(const SourceRevision&, const SourceRevision&) = default;
};

/// "2.1041": era and number, for logs.
inline std::string formatRevision(const SourceRevision& revision) {
  return std::to_string(revision.era.value()) + "." + std::to_string(revision.number.value());
}

inline std::ostream& operator<<(std::ostream& out, const SourceRevision& revision) {
  return out << formatRevision(revision);
}

}  // namespace coursepond
