#pragma once

/// Position in the change history of a watched source.

#include <compare>
#include <ostream>
#include <string>

#include "core/ids.h"

namespace coursepond {

/// A source numbers its changes by revisions, which increase within an era. A source that is
/// restored from a copy starts the next era: its revision numbers go back and are reused for other
/// changes. The default value means that nothing has been received yet.
struct SourceRevision {
  Era era;  ///< Zero if the source does not report eras.
  Generation number;

  constexpr SourceRevision() = default;
  // Implicit, because without eras a source's revision is just its number.
  constexpr SourceRevision(Generation the_number) : number(the_number) {}
  constexpr SourceRevision(Era the_era, Generation the_number) : era(the_era), number(the_number) {}

  /// A later era is newer, whatever its number.
  friend constexpr auto operator<=>(const SourceRevision&, const SourceRevision&) = default;
};

/// Formats era and number for logs: "2.1041".
inline std::string formatRevision(const SourceRevision& revision) {
  return std::to_string(revision.era.value()) + "." + std::to_string(revision.number.value());
}

inline std::ostream& operator<<(std::ostream& out, const SourceRevision& revision) {
  return out << formatRevision(revision);
}

}  // namespace coursepond
