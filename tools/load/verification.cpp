#include "verification.h"

namespace coursepond::load {

namespace {

class Verifier {
 public:
  Verifier(const std::string& prefix, const standin::JournalEntries* journal)
      : prefix_(prefix), journal_(journal) {}

  void checkRecord(const RequestRecord& record) {
    if (record.outcome == Outcome::kMixedUp)
      recordViolation(verification_.mixed_up, "mixed up", record);
    if (record.outcome == Outcome::kShort)
      recordViolation(verification_.short_answers, "short", record);
    if (journal_ == nullptr) return;
    const standin::JournalEntry entry = entryOf(record);
    if (record.outcome == Outcome::kAnswered && entry.completed == 0) {
      recordViolation(verification_.lost, "lost", record);
    }
    if (record.outcome == Outcome::kNotRun && entry.started > 0) {
      recordViolation(verification_.not_run_ran, "reported as not run but ran", record);
    }
    if (!record.repeatable && entry.started > 1)
      recordViolation(verification_.doubled, "doubled", record);
  }

  Verification& verification() { return verification_; }

 private:
  standin::JournalEntry entryOf(const RequestRecord& record) const {
    const auto found = journal_->find(makeRequestId(prefix_, record.number));
    return found == journal_->end() ? standin::JournalEntry{} : found->second;
  }

  void recordViolation(std::uint64_t& counter, const char* what, const RequestRecord& record) {
    ++counter;
    if (verification_.examples.size() >= Verification::kMaxExamples) return;
    verification_.examples.push_back(std::string(what) + ": " +
                                     makeRequestId(prefix_, record.number));
  }

  const std::string& prefix_;
  const standin::JournalEntries* journal_;
  Verification verification_;
};

}  // namespace

Verification verify(const RunResult& result, const std::string& prefix,
                    const standin::JournalEntries* journal) {
  Verifier verifier(prefix, journal);
  for (const RequestRecord& record : result.records) verifier.checkRecord(record);
  verifier.verification().version_regressions = result.version_regressions;
  return std::move(verifier.verification());
}

}  // namespace coursepond::load
