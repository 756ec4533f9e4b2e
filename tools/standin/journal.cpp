#include "journal.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace coursepond::standin {

using nlohmann::json;

namespace {

constexpr std::size_t kCounts = 4;

char eventLetter(JournalEvent event) {
  switch (event) {
    case JournalEvent::kStarted:
      return 'S';
    case JournalEvent::kCompleted:
      return 'C';
    case JournalEvent::kCancelled:
      return 'X';
    case JournalEvent::kRefused:
      return 'R';
  }
  return '?';
}

std::optional<JournalEvent> parseLetter(char letter) {
  for (const JournalEvent event : {JournalEvent::kStarted, JournalEvent::kCompleted,
                                   JournalEvent::kCancelled, JournalEvent::kRefused}) {
    if (eventLetter(event) == letter) return event;
  }
  return std::nullopt;
}

void count(JournalEntry& entry, JournalEvent event) {
  switch (event) {
    case JournalEvent::kStarted:
      ++entry.started;
      break;
    case JournalEvent::kCompleted:
      ++entry.completed;
      break;
    case JournalEvent::kCancelled:
      ++entry.cancelled;
      break;
    case JournalEvent::kRefused:
      ++entry.refused;
      break;
  }
}

Error malformedJournal(std::string message) {
  return {ErrorKind::kMalformed, "malformed journal: " + std::move(message),
          "read it from a back end of this build"};
}

}  // namespace

Result<std::string> Journal::openFile(const std::string& path) {
  file_.reset(std::fopen(path.c_str(), "ae"));
  if (!file_) {
    return Error{ErrorKind::kUnavailable, "cannot open the journal file " + path,
                 "name a file in a writable folder"};
  }
  return path;
}

void Journal::record(std::string_view request_id, JournalEvent event) {
  const auto found = entries_.try_emplace(std::string(request_id)).first;
  count(found->second, event);
  if (!file_) return;
  std::fprintf(file_.get(), "%c %.*s\n", eventLetter(event), static_cast<int>(request_id.size()),
               request_id.data());
  std::fflush(file_.get());
}

std::string Journal::format() const {
  json entries = json::object();
  for (const auto& [id, entry] : entries_) {
    entries[id] = {entry.started, entry.completed, entry.cancelled, entry.refused};
  }
  return json{{"entries", std::move(entries)}}.dump();
}

Result<std::size_t> mergeJournalText(std::string_view text, JournalEntries& entries) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("entries") || !parsed["entries"].is_object()) {
    return malformedJournal("no entries");
  }
  for (const auto& [id, counts] : parsed["entries"].items()) {
    if (!counts.is_array() || counts.size() != kCounts) return malformedJournal("entry " + id);
    JournalEntry& entry = entries[id];
    entry.started += counts[0].get<std::uint32_t>();
    entry.completed += counts[1].get<std::uint32_t>();
    entry.cancelled += counts[2].get<std::uint32_t>();
    entry.refused += counts[3].get<std::uint32_t>();
  }
  return parsed["entries"].size();
}

Result<std::size_t> mergeJournalLines(std::string_view lines, JournalEntries& entries) {
  constexpr std::size_t kIdOffset = 2;
  std::size_t read = 0;
  for (std::size_t end = lines.find('\n'); end != std::string_view::npos; end = lines.find('\n')) {
    const std::string_view line = lines.substr(0, end);
    lines.remove_prefix(end + 1);
    const auto event = line.size() < kIdOffset ? std::nullopt : parseLetter(line[0]);
    if (!event) return malformedJournal("line '" + std::string(line) + "'");
    count(entries[std::string(line.substr(kIdOffset))], *event);
    ++read;
  }
  return read;
}

}  // namespace coursepond::standin
