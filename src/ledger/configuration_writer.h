// Writes one section of the configuration under the conditions that make an
// accepted change valid everywhere.

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
  // Another change came first; `current` is what is stored now.
  kConflict,
  // The text is not valid; `findings` says why.
  kInvalid,
  // Certainly not stored.
  kUnavailable,
  // The table service did not say whether it is stored.
  kUnknown,
};

struct ApplyResult {
  ApplyStatus status = ApplyStatus::kUnavailable;
  std::uint64_t revision = 0;
  SectionText current;
  std::vector<Finding> findings;
};

// Throws FindingsError, as ParseConfiguration does.
using SectionParser = std::function<Configuration(const SectionTexts&)>;

class ConfigurationWriter {
 public:
  using Callback = std::function<void(const ApplyResult&)>;

  // `in_force` stands in for stored rows that cannot be read. All references
  // must outlive the writer.
  ConfigurationWriter(TableCalls& table,
                      const Clock& clock,
                      EventLog& log,
                      const SectionParser& parser,
                      const SectionTexts& in_force);

  // As ConfigurationLedger::Apply.
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
    // Value of the section row and of its history row.
    std::string value;
    std::string author;
    TableTransaction transaction;
    // True if a write may have taken effect or may still do so.
    bool may_be_written = false;
    // True if the last write met a failed condition.
    bool conflicted = false;
    int rounds = 0;
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
  void EndApply(std::uint64_t id, ApplyResult result);
  void EndAccepted(std::uint64_t id);

  TableCalls& table_;
  const Clock& clock_;
  EventLog& log_;
  const SectionParser& parser_;
  const SectionTexts& in_force_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, PendingApply> applies_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_CONFIGURATION_WRITER_H_
