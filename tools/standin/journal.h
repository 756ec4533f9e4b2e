#pragma once

/// Records what a back end did with each request, in memory and optionally also in a file that
/// survives when the process is killed.

#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/error.h"

namespace coursepond::standin {

/// An event in the processing of a request at a back end.
enum class JournalEvent {
  kStarted,    ///< The request took a slot: its work ran, at least in part.
  kCompleted,  ///< The work completed; its answer is then passed to the connection.
  kCancelled,  ///< Running work was stopped: client disconnected or deadline passed.
  kRefused,    ///< Refused with the outcome "not run".
};

/// Number of events of each kind for one request id.
struct JournalEntry {
  std::uint32_t started = 0;
  std::uint32_t completed = 0;
  std::uint32_t cancelled = 0;
  std::uint32_t refused = 0;

  friend bool operator==(const JournalEntry&, const JournalEntry&) = default;
};

using JournalEntries = std::map<std::string, JournalEntry, std::less<>>;

class Journal {
 public:
  /// From now on also appends each event as a line to the file and flushes it before record()
  /// returns. Fails with kUnavailable when the file cannot be opened.
  Result<std::string> openFile(const std::string& path);

  void record(std::string_view request_id, JournalEvent event);

  const JournalEntries& entries() const { return entries_; }

  /// {"entries": {"ID": [started, completed, cancelled, refused], ...}}
  std::string format() const;

 private:
  struct CloseFile {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };

  JournalEntries entries_;
  std::unique_ptr<std::FILE, CloseFile> file_;
};

/// Parses the output of Journal::format and adds it to `entries`. Returns the number of entries
/// read. Fails with kMalformed.
Result<std::size_t> mergeJournalText(std::string_view text, JournalEntries& entries);

/// Parses the lines of a journal file and adds them to `entries`. An unterminated last line is
/// ignored. Returns the number of lines read. Fails with kMalformed.
Result<std::size_t> mergeJournalLines(std::string_view lines, JournalEntries& entries);

}  // namespace coursepond::standin
