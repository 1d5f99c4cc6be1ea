#include "src/ledger/configuration_writer.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "src/ledger/stored_answer.h"

namespace filbertshift {
namespace {

using Json = nlohmann::json;

// Limits the duration of an apply while the table service does not answer or
// other sections keep changing.
constexpr int kMaxApplyAttempts = 4;

// Idempotency token derived from the content of the transaction, within the 36
// characters that the table service allows.
std::string ContentToken(const std::vector<TableWrite>& writes) {
  std::string content;
  for (const TableWrite& write : writes) {
    content += write.key + "\n" + std::to_string(write.expected_version) +
               "\n" + write.value + "\n";
  }
  const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

bool IsUtf8(const std::string& text) {
  try {
    Json(text).dump();
    return true;
  } catch (const Json::type_error&) {
    return false;
  }
}

}  // namespace

ConfigurationWriter::ConfigurationWriter(TableCalls& table,
                                         const Clock& clock,
                                         EventLog& log,
                                         const SectionParser& parser,
                                         const SectionTexts& active_sections)
    : table_(table),
      clock_(clock),
      log_(log),
      parser_(parser),
      active_sections_(active_sections) {}

void ConfigurationWriter::Apply(Section section,
                                std::uint64_t base_revision,
                                const std::string& text,
                                const std::string& author,
                                Callback callback) {
  const std::uint64_t id = next_id_++;
  PendingApply& apply = applies_[id];
  apply.section = section;
  apply.base_revision = base_revision;
  apply.text = text;
  apply.author = author;
  apply.callback = std::move(callback);
  const auto changed_at = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.WallNow().time_since_epoch());
  apply.value = DumpRow({{"revision", base_revision + 1},
                         {"text", text},
                         {"author", author},
                         {"changed_at", changed_at.count()}});
  ReadBeforeApply(id);
}

void ConfigurationWriter::ReadBeforeApply(std::uint64_t id) {
  table_.Get(SectionKeys(), [this, id](const TableReply& reply) {
    OnReadBeforeApply(id, reply);
  });
}

void ConfigurationWriter::OnReadBeforeApply(std::uint64_t id,
                                            const TableReply& reply) {
  if (reply.outcome != TableOutcome::kOk) {
    FinishApply(id, ApplyResult());
    return;
  }
  PendingApply& apply = applies_.at(id);
  const StoredSections stored = ReadSectionRows(reply, active_sections_, log_);
  ApplyResult result;
  result.current = stored.texts.at(apply.section);
  if (result.current.revision != apply.base_revision) {
    result.status = ApplyStatus::kConflict;
    result.revision = result.current.revision;
    FinishApply(id, std::move(result));
    return;
  }
  result.findings = Validate(apply, stored.texts);
  if (!result.findings.empty()) {
    result.status = ApplyStatus::kInvalid;
    FinishApply(id, std::move(result));
    return;
  }
  if (++apply.attempts > kMaxApplyAttempts) {
    FinishApply(id, ApplyResult());
    return;
  }
  apply.transaction = MakeTransaction(apply, stored);
  SubmitApply(id);
}

std::vector<Finding> ConfigurationWriter::Validate(const PendingApply& apply,
                                                   SectionTexts texts) const {
  const std::string name(SectionName(apply.section));
  if (!IsUtf8(apply.text)) {
    return {Finding{name, "", 0, 0, "the section text is not valid UTF-8"}};
  }
  texts[apply.section] = SectionText{apply.base_revision + 1, apply.text};
  try {
    parser_(texts);
    return {};
  } catch (const FindingsError& error) {
    return error.findings();
  }
}

TableTransaction ConfigurationWriter::MakeTransaction(
    const PendingApply& apply,
    const StoredSections& stored) {
  TableTransaction transaction;
  for (Section section : ConfigurationSections()) {
    TableWrite write;
    write.key = SectionKey(section);
    write.expected_version = stored.versions.at(section);
    write.check_only = section != apply.section;
    write.value = write.check_only ? std::string() : apply.value;
    transaction.writes.push_back(std::move(write));
  }
  TableWrite history;
  history.key = HistoryKey(apply.section, apply.base_revision + 1);
  history.value = apply.value;
  transaction.writes.push_back(std::move(history));
  transaction.token = ContentToken(transaction.writes);
  return transaction;
}

void ConfigurationWriter::SubmitApply(std::uint64_t id) {
  table_.Submit(applies_.at(id).transaction,
                [this, id](const TableReply& reply) { OnApplied(id, reply); });
}

void ConfigurationWriter::OnApplied(std::uint64_t id, const TableReply& reply) {
  PendingApply& apply = applies_.at(id);
  switch (reply.outcome) {
    case TableOutcome::kOk:
      FinishAccepted(id);
      return;
    case TableOutcome::kNotApplied:
      if (!apply.may_be_applied) {
        FinishApply(id, ApplyResult());
        return;
      }
      ReadHistory(id);
      return;
    case TableOutcome::kConflict:
      if (!apply.may_be_applied) {
        ReadBeforeApply(id);
        return;
      }
      apply.conflicted = true;
      ReadHistory(id);
      return;
    case TableOutcome::kUnknown:
      apply.may_be_applied = true;
      ReadHistory(id);
      return;
  }
}

void ConfigurationWriter::ReadHistory(std::uint64_t id) {
  const PendingApply& apply = applies_.at(id);
  table_.Get({HistoryKey(apply.section, apply.base_revision + 1),
              SectionKey(apply.section)},
             [this, id](const TableReply& reply) { OnHistoryRead(id, reply); });
}

// The history row identifies the change that created the revision, even if
// later changes have replaced the section row.
void ConfigurationWriter::OnHistoryRead(std::uint64_t id,
                                        const TableReply& reply) {
  PendingApply& apply = applies_.at(id);
  ApplyResult result;
  if (reply.outcome == TableOutcome::kOk) {
    const TableRow* history =
        FindRow(reply, HistoryKey(apply.section, apply.base_revision + 1));
    if (history != nullptr && history->value == apply.value) {
      FinishAccepted(id);
      return;
    }
    if (history != nullptr) {
      result.status = ApplyStatus::kConflict;
      result.current = ReadSectionRows(reply, active_sections_, log_)
                           .texts.at(apply.section);
      result.revision = result.current.revision;
      FinishApply(id, std::move(result));
      return;
    }
    // Row versions only increase, so after a conflict no earlier attempt can
    // still be applied.
    if (apply.conflicted) {
      apply.conflicted = false;
      apply.may_be_applied = false;
      ReadBeforeApply(id);
      return;
    }
  }
  if (++apply.attempts > kMaxApplyAttempts) {
    result.status = ApplyStatus::kUnknown;
    FinishApply(id, std::move(result));
    return;
  }
  // The conditions of the transaction ensure that it is applied at most once,
  // so it can be submitted again.
  SubmitApply(id);
}

void ConfigurationWriter::FinishApply(std::uint64_t id, ApplyResult result) {
  auto found = applies_.find(id);
  const Callback callback = std::move(found->second.callback);
  applies_.erase(found);
  callback(result);
}

void ConfigurationWriter::FinishAccepted(std::uint64_t id) {
  const PendingApply& apply = applies_.at(id);
  ApplyResult result;
  result.status = ApplyStatus::kAccepted;
  result.revision = apply.base_revision + 1;
  result.current = SectionText{result.revision, apply.text};
  FinishApply(id, std::move(result));
}

}  // namespace filbertshift
