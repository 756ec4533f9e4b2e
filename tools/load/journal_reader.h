#pragma once

/// Reads the journals of the back ends after a run and merges them.

#include <string>
#include <vector>

#include "core/address.h"
#include "journal.h"

namespace coursepond::load {

/// Where to read journals: running back ends over HTTP, and the journal files of killed ones.
struct JournalSources {
  std::vector<Address> back_ends;
  std::vector<std::string> files;

  bool empty() const { return back_ends.empty() && files.empty(); }
};

/// Returns the merged entries of all journals. Fails when a journal cannot be read, because a check
/// against an incomplete set would report requests as lost that were not.
Result<standin::JournalEntries> readJournals(const JournalSources& sources);

}  // namespace coursepond::load
