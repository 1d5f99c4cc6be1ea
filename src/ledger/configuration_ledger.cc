#include "src/ledger/configuration_ledger.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <bitset>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/ledger/stored_answer.h"

namespace filbertshift {
namespace {

using Json = nlohmann::json;

// Bounds the time of an apply while the table service does not answer or other
// sections keep changing.
constexpr int kMaxApplyRounds = 4;

std::string SectionKey(Section section) {
  return "config/" + std::string(SectionName(section));
}

std::string HistoryKey(Section section, std::uint64_t revision) {
  return "config-history/" + std::string(SectionName(section)) + "/" +
         std::to_string(revision);
}

const TableRow* FindRow(const TableReply& reply, const std::string& key) {
  for (const TableRow& row : reply.rows) {
    if (row.key == key) {
      return &row;
    }
  }
  return nullptr;
}

// Throws nlohmann::json::exception.
SectionText ParseSectionRow(const std::string& value) {
  const Json json = Json::parse(value);
  SectionText text;
  text.revision = json.at("revision").get<std::uint64_t>();
  text.text = json.at("text").get<std::string>();
  return text;
}

// A token that only a transaction with the same content has, within the 36
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

ConfigurationLedger::ConfigurationLedger(
    std::chrono::milliseconds poll_interval,
    TableCalls& table,
    PeerPort& peers,
    const Clock& clock,
    EventLog& log,
    Parser parser)
    : poll_interval_(poll_interval),
      table_(table),
      peers_(peers),
      clock_(clock),
      log_(log),
      parser_(std::move(parser)),
      next_poll_(clock.Now()) {
  for (Section section : ConfigurationSections()) {
    sections_[section] = SectionText();
  }
}

void ConfigurationLedger::SetHandler(ChangeCallback on_change) {
  on_change_ = std::move(on_change);
}

std::vector<std::uint64_t> ConfigurationLedger::Revisions() const {
  std::vector<std::uint64_t> revisions;
  for (Section section : ConfigurationSections()) {
    revisions.push_back(sections_.at(section).revision);
  }
  return revisions;
}

void ConfigurationLedger::Tick(TimePoint now) {
  if (!poll_running_ && now >= next_poll_) {
    next_poll_ = now + poll_interval_;
    Poll();
  }
}

void ConfigurationLedger::Poll() {
  poll_running_ = true;
  std::vector<std::string> keys;
  for (Section section : ConfigurationSections()) {
    keys.push_back(SectionKey(section));
  }
  table_.Get(std::move(keys), [this](const TableReply& reply) {
    poll_running_ = false;
    if (reply.outcome != TableOutcome::kOk) {
      return;
    }
    Offer(ReadRows(reply).texts, true);
    // An instance that starts with an invalid section has no earlier one to
    // keep, and must not refuse callers on the strength of half a document.
    verified_ = verified_ || candidates_.empty();
  });
}

// A row that cannot be read counts as the section in force, so that the
// previous text stays.
ConfigurationLedger::StoredSections ConfigurationLedger::ReadRows(
    const TableReply& reply) const {
  StoredSections stored;
  for (Section section : ConfigurationSections()) {
    stored.texts[section] = SectionText();
    stored.versions[section] = 0;
    const TableRow* row = FindRow(reply, SectionKey(section));
    if (row == nullptr) {
      continue;
    }
    stored.versions[section] = row->version;
    try {
      stored.texts[section] = ParseSectionRow(row->value);
    } catch (const Json::exception& error) {
      log_.Write(EventId::kConfigurationRejected,
                 row->key + " is no section row: " + error.what());
      stored.texts[section] = sections_.at(section);
    }
  }
  return stored;
}

void ConfigurationLedger::OnPeerHeartbeat(const InstanceId& from,
                                          const PeerHeartbeat& heartbeat) {
  const std::vector<std::uint64_t> own = Revisions();
  if (heartbeat.revisions.size() != own.size()) {
    return;
  }
  bool peer_is_ahead = false;
  for (std::size_t i = 0; i < own.size(); ++i) {
    peer_is_ahead |= heartbeat.revisions[i] > own[i];
  }
  // A peer accepts requests only when it is verified itself.
  verified_ = verified_ || (heartbeat.accepting && !peer_is_ahead);
  if (!verified_) {
    return;
  }
  for (std::size_t i = 0; i < own.size(); ++i) {
    const Section section = ConfigurationSections()[i];
    if (heartbeat.revisions[i] < own[i]) {
      peers_.Send(from,
                  PeerConfigurationSection{std::string(SectionName(section)),
                                           own[i], sections_.at(section).text});
    }
  }
}

void ConfigurationLedger::OnPeerMessage(
    const PeerConfigurationSection& message) {
  try {
    SectionTexts offered;
    offered[ParseSectionName(message.section)] =
        SectionText{message.revision, message.text};
    Offer(offered, false);
  } catch (const std::invalid_argument& error) {
    log_.Write(EventId::kPeerMessageRejected, error.what());
  }
}

void ConfigurationLedger::Offer(const SectionTexts& offered, bool stored) {
  bool changed = false;
  for (const auto& [section, text] : offered) {
    const std::uint64_t in_force = sections_.at(section).revision;
    if (text.revision < in_force) {
      NoteStale(section, text.revision);
      continue;
    }
    auto candidate = candidates_.find(section);
    const std::uint64_t known =
        candidate == candidates_.end() ? in_force : candidate->second.revision;
    if (text.revision > known) {
      candidates_[section] = text;
      changed = true;
    }
  }
  if (changed) {
    TryCandidates();
  }
  // A peer may offer the last valid revision while a newer one is rejected.
  for (const auto& [section, text] : offered) {
    if (candidates_.count(section) > 0 &&
        text.revision > sections_.at(section).revision &&
        text.revision < candidates_.at(section).revision) {
      TryTexts({{section, text}});
    }
  }
  if (stored) {
    LogRejected();
  }
}

void ConfigurationLedger::NoteStale(Section section, std::uint64_t revision) {
  if (logged_stale_[section] == revision + 1) {
    return;
  }
  logged_stale_[section] = revision + 1;
  log_.Write(EventId::kConfigurationStale,
             std::string(SectionName(section)) + " revision " +
                 std::to_string(revision) + " after " +
                 std::to_string(sections_.at(section).revision));
}

void ConfigurationLedger::TryCandidates() {
  const std::vector<std::pair<Section, SectionText>> list(candidates_.begin(),
                                                          candidates_.end());
  // At most four sections, so that there are at most 15 subsets.
  std::vector<unsigned> subsets;
  for (unsigned subset = 1; subset < (1U << list.size()); ++subset) {
    subsets.push_back(subset);
  }
  std::stable_sort(subsets.begin(), subsets.end(), [](unsigned a, unsigned b) {
    return std::bitset<8>(a).count() > std::bitset<8>(b).count();
  });
  for (unsigned subset : subsets) {
    SectionTexts changed;
    for (std::size_t i = 0; i < list.size(); ++i) {
      if ((subset & (1U << i)) != 0) {
        changed.insert(list[i]);
      }
    }
    if (TryTexts(changed)) {
      return;
    }
  }
}

bool ConfigurationLedger::TryTexts(const SectionTexts& changed) {
  SectionTexts texts = sections_;
  for (const auto& [section, text] : changed) {
    texts[section] = text;
  }
  try {
    Adopt(changed, parser_(texts));
    return true;
  } catch (const FindingsError&) {
    return false;
  }
}

void ConfigurationLedger::Adopt(const SectionTexts& changed,
                                Configuration configuration) {
  for (const auto& [section, text] : changed) {
    if (text.revision <= sections_.at(section).revision) {
      log_.Write(
          EventId::kInvariantViolated,
          "section " + std::string(SectionName(section)) + " would go back");
      return;
    }
  }
  for (const auto& [section, text] : changed) {
    sections_[section] = text;
    auto candidate = candidates_.find(section);
    if (candidate != candidates_.end() &&
        candidate->second.revision <= text.revision) {
      candidates_.erase(candidate);
    }
    log_.Write(EventId::kConfigurationInForce,
               std::string(SectionName(section)) + " revision " +
                   std::to_string(text.revision));
  }
  configuration_ = std::move(configuration);
  if (on_change_) {
    on_change_(configuration_);
  }
}

void ConfigurationLedger::LogRejected() {
  for (const auto& [section, text] : candidates_) {
    if (logged_rejected_[section] == text.revision) {
      continue;
    }
    logged_rejected_[section] = text.revision;
    SectionTexts texts = sections_;
    texts[section] = text;
    std::string detail = std::string(SectionName(section)) + " revision " +
                         std::to_string(text.revision);
    try {
      parser_(texts);
    } catch (const FindingsError& error) {
      detail += std::string(": ") + error.what();
    }
    log_.Write(EventId::kConfigurationRejected, detail);
  }
}

void ConfigurationLedger::Apply(Section section,
                                std::uint64_t base_revision,
                                const std::string& text,
                                const std::string& author,
                                ApplyCallback callback) {
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

void ConfigurationLedger::ReadBeforeApply(std::uint64_t id) {
  std::vector<std::string> keys;
  for (Section section : ConfigurationSections()) {
    keys.push_back(SectionKey(section));
  }
  table_.Get(std::move(keys), [this, id](const TableReply& reply) {
    OnReadBeforeApply(id, reply);
  });
}

void ConfigurationLedger::OnReadBeforeApply(std::uint64_t id,
                                            const TableReply& reply) {
  if (reply.outcome != TableOutcome::kOk) {
    EndApply(id, ApplyResult());
    return;
  }
  PendingApply& apply = applies_.at(id);
  const StoredSections stored = ReadRows(reply);
  ApplyResult result;
  result.current = stored.texts.at(apply.section);
  if (result.current.revision != apply.base_revision) {
    result.status = ApplyStatus::kConflict;
    result.revision = result.current.revision;
    EndApply(id, std::move(result));
    return;
  }
  result.findings = Validate(apply, stored.texts);
  if (!result.findings.empty()) {
    result.status = ApplyStatus::kInvalid;
    EndApply(id, std::move(result));
    return;
  }
  if (++apply.rounds > kMaxApplyRounds) {
    EndApply(id, ApplyResult());
    return;
  }
  apply.transaction = MakeTransaction(apply, stored);
  SubmitApply(id);
}

std::vector<Finding> ConfigurationLedger::Validate(const PendingApply& apply,
                                                   SectionTexts texts) const {
  const std::string name(SectionName(apply.section));
  if (!IsUtf8(apply.text)) {
    return {Finding{name, "", 0, 0, "the text is not UTF-8"}};
  }
  texts[apply.section] = SectionText{apply.base_revision + 1, apply.text};
  try {
    parser_(texts);
    return {};
  } catch (const FindingsError& error) {
    return error.findings();
  }
}

TableTransaction ConfigurationLedger::MakeTransaction(
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

void ConfigurationLedger::SubmitApply(std::uint64_t id) {
  table_.Submit(applies_.at(id).transaction,
                [this, id](const TableReply& reply) { OnApplied(id, reply); });
}

void ConfigurationLedger::OnApplied(std::uint64_t id, const TableReply& reply) {
  PendingApply& apply = applies_.at(id);
  switch (reply.outcome) {
    case TableOutcome::kOk:
      EndAccepted(id);
      return;
    case TableOutcome::kNotApplied:
      if (!apply.may_be_written) {
        EndApply(id, ApplyResult());
        return;
      }
      ReadHistory(id);
      return;
    case TableOutcome::kConflict:
      if (!apply.may_be_written) {
        ReadBeforeApply(id);
        return;
      }
      apply.conflicted = true;
      ReadHistory(id);
      return;
    case TableOutcome::kUnknown:
      apply.may_be_written = true;
      ReadHistory(id);
      return;
  }
}

void ConfigurationLedger::ReadHistory(std::uint64_t id) {
  const PendingApply& apply = applies_.at(id);
  table_.Get({HistoryKey(apply.section, apply.base_revision + 1),
              SectionKey(apply.section)},
             [this, id](const TableReply& reply) { OnHistoryRead(id, reply); });
}

// The history row of the revision tells whose change it is, even when later
// changes have replaced the section row.
void ConfigurationLedger::OnHistoryRead(std::uint64_t id,
                                        const TableReply& reply) {
  PendingApply& apply = applies_.at(id);
  ApplyResult result;
  if (reply.outcome == TableOutcome::kOk) {
    const TableRow* history =
        FindRow(reply, HistoryKey(apply.section, apply.base_revision + 1));
    if (history != nullptr && history->value == apply.value) {
      EndAccepted(id);
      return;
    }
    if (history != nullptr) {
      result.status = ApplyStatus::kConflict;
      result.current = ReadRows(reply).texts.at(apply.section);
      result.revision = result.current.revision;
      EndApply(id, std::move(result));
      return;
    }
    // Versions only grow: after a conflict no earlier try can take effect.
    if (apply.conflicted) {
      apply.conflicted = false;
      apply.may_be_written = false;
      ReadBeforeApply(id);
      return;
    }
  }
  if (++apply.rounds > kMaxApplyRounds) {
    result.status = ApplyStatus::kUnknown;
    EndApply(id, std::move(result));
    return;
  }
  // The same transaction again: its conditions let it take effect once.
  SubmitApply(id);
}

void ConfigurationLedger::EndApply(std::uint64_t id, ApplyResult result) {
  auto found = applies_.find(id);
  const ApplyCallback callback = std::move(found->second.callback);
  applies_.erase(found);
  callback(result);
}

void ConfigurationLedger::EndAccepted(std::uint64_t id) {
  const PendingApply& apply = applies_.at(id);
  ApplyResult result;
  result.status = ApplyStatus::kAccepted;
  result.revision = apply.base_revision + 1;
  result.current = SectionText{result.revision, apply.text};
  peers_.Broadcast(PeerConfigurationSection{
      std::string(SectionName(apply.section)), result.revision, apply.text});
  Offer({{apply.section, result.current}}, true);
  EndApply(id, std::move(result));
}

}  // namespace filbertshift
