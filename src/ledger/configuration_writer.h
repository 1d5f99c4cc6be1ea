// Writes configuration sections to the table service in transactions that
// ensure that accepted changes are valid together.

#ifndef SRC_LEDGER_CONFIGURATION_WRITER_H_
#define SRC_LEDGER_CONFIGURATION_WRITER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/ledger/section_rows.h"
#include "src/ledger/table_calls.h"

namespace filbertshift {

enum class ApplyStatus {
  kAccepted,
  // The section was changed concurrently; `current` is the stored section.
  kConflict,
  // The text is invalid; `findings` lists the errors.
  kInvalid,
  // Definitely not stored.
  kUnavailable,
  // The table service did not confirm whether the change is stored.
  kUnknown,
};

struct ApplyResult {
  ApplyStatus status = ApplyStatus::kUnavailable;
  std::uint64_t revision = 0;
  SectionText current;
  std::vector<Finding> findings;
};

// Throws FindingsError for invalid sections, as ParseConfiguration does.
using SectionParser = std::function<Configuration(const SectionTexts&)>;

class ConfigurationWriter {
 public:
  using Callback = std::function<void(const ApplyResult&)>;

  // `active_sections` replaces stored rows that cannot be parsed. All
  // references must outlive the writer.
  ConfigurationWriter(TableCalls& table,
                      const Clock& clock,
                      EventLog& log,
                      const SectionParser& parser,
                      const SectionTexts& active_sections);

  // See ConfigurationLedger::Apply.
  void Apply(Section section,
             std::uint64_t base_revision,
             const std::string& text,
             const std::string& author,
             Callback callback);

 private:
  struct PendingApply {
    Section section{};
    std::uint64_t base_revision = 0;
    std::string text;
    // Value of both the section row and its history row.
    std::string value;
    std::string author;
    TableTransaction transaction;
    // True if a write may have been applied or may still be applied.
    bool may_be_applied = false;
    // True if a condition of the last write failed.
    bool conflicted = false;
    int attempts = 0;
    Callback callback;
  };

  void ReadBeforeApply(std::uint64_t id);
  void OnReadBeforeApply(std::uint64_t id, const TableReply& reply);
  std::vector<Finding> Validate(const PendingApply& apply,
                                SectionTexts texts) const;
  TableTransaction MakeTransaction(const PendingApply& apply,
                                   const StoredSections& stored);
  void SubmitApply(std::uint64_t id);
  void OnApplied(std::uint64_t id, const TableReply& reply);
  void ReadHistory(std::uint64_t id);
  void OnHistoryRead(std::uint64_t id, const TableReply& reply);
  void FinishApply(std::uint64_t id, ApplyResult result);
  void FinishAccepted(std::uint64_t id);

  TableCalls& table_;
  const Clock& clock_;
  EventLog& log_;
  const SectionParser& parser_;
  const SectionTexts& active_sections_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, PendingApply> applies_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_CONFIGURATION_WRITER_H_
