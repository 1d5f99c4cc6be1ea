#include "src/ledger/configuration_ledger.h"

#include <algorithm>
#include <bitset>
#include <utility>

#include "src/ledger/section_rows.h"

namespace filbertshift {

ConfigurationLedger::ConfigurationLedger(
    std::chrono::milliseconds poll_interval,
    TableCalls& table,
    PeerPort& peers,
    const Clock& clock,
    EventLog& log,
    SectionParser parser)
    : poll_interval_(poll_interval),
      table_(table),
      peers_(peers),
      log_(log),
      parser_(std::move(parser)),
      next_poll_(clock.Now()),
      writer_(table, clock, log, parser_, sections_) {
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
  table_.Get(SectionKeys(), [this](const TableReply& reply) {
    poll_running_ = false;
    if (reply.outcome != TableOutcome::kOk) {
      return;
    }
    MergeSections(ReadSectionRows(reply, sections_, log_).texts, true);
    // An instance that starts with an invalid stored section has no previous
    // revision to fall back to. It stays unverified, so that it does not refuse
    // callers because of an incomplete configuration.
    verified_ = verified_ || candidates_.empty();
  });
}

void ConfigurationLedger::OnPeerHeartbeat(const InstanceId& from,
                                          const PeerHeartbeat& heartbeat) {
  const std::vector<std::uint64_t> own_revisions = Revisions();
  if (heartbeat.revisions.size() != own_revisions.size()) {
    return;
  }
  bool peer_is_ahead = false;
  for (std::size_t i = 0; i < own_revisions.size(); ++i) {
    peer_is_ahead |= heartbeat.revisions[i] > own_revisions[i];
  }
  // A peer accepts requests only if it is verified itself.
  verified_ = verified_ || (heartbeat.accepting && !peer_is_ahead);
  if (!verified_) {
    return;
  }
  for (std::size_t i = 0; i < own_revisions.size(); ++i) {
    const Section section = ConfigurationSections()[i];
    if (heartbeat.revisions[i] < own_revisions[i]) {
      peers_.Send(from, PeerConfigurationSection{
                            std::string(SectionName(section)), own_revisions[i],
                            sections_.at(section).text});
    }
  }
}

void ConfigurationLedger::OnPeerMessage(
    const PeerConfigurationSection& message) {
  try {
    SectionTexts received;
    received[ParseSectionName(message.section)] =
        SectionText{message.revision, message.text};
    MergeSections(received, false);
  } catch (const std::invalid_argument& error) {
    log_.Write(EventId::kPeerMessageRejected, error.what());
  }
}

void ConfigurationLedger::MergeSections(const SectionTexts& received,
                                        bool is_stored) {
  bool changed = false;
  for (const auto& [section, text] : received) {
    const std::uint64_t active_revision = sections_.at(section).revision;
    if (text.revision < active_revision) {
      LogStale(section, text.revision);
      continue;
    }
    auto candidate = candidates_.find(section);
    const std::uint64_t newest_revision = candidate == candidates_.end()
                                              ? active_revision
                                              : candidate->second.revision;
    if (text.revision > newest_revision) {
      candidates_[section] = text;
      changed = true;
    }
  }
  if (changed) {
    ActivateCandidates();
  }
  // A peer may send the last valid revision while a newer one is rejected.
  for (const auto& [section, text] : received) {
    if (candidates_.count(section) > 0 &&
        text.revision > sections_.at(section).revision &&
        text.revision < candidates_.at(section).revision) {
      TryActivate({{section, text}});
    }
  }
  if (is_stored) {
    LogRejected();
  }
}

void ConfigurationLedger::LogStale(Section section, std::uint64_t revision) {
  if (logged_stale_[section] == revision + 1) {
    return;
  }
  logged_stale_[section] = revision + 1;
  log_.Write(EventId::kConfigurationStale,
             std::string(SectionName(section)) + " revision " +
                 std::to_string(revision) + " is older than active revision " +
                 std::to_string(sections_.at(section).revision));
}

void ConfigurationLedger::ActivateCandidates() {
  const std::vector<std::pair<Section, SectionText>> candidate_list(
      candidates_.begin(), candidates_.end());
  // There are at most four sections, hence at most 15 subsets.
  std::vector<unsigned> subsets;
  for (unsigned subset = 1; subset < (1U << candidate_list.size()); ++subset) {
    subsets.push_back(subset);
  }
  std::stable_sort(subsets.begin(), subsets.end(), [](unsigned a, unsigned b) {
    return std::bitset<8>(a).count() > std::bitset<8>(b).count();
  });
  for (unsigned subset : subsets) {
    SectionTexts changed;
    for (std::size_t i = 0; i < candidate_list.size(); ++i) {
      if ((subset & (1U << i)) != 0) {
        changed.insert(candidate_list[i]);
      }
    }
    if (TryActivate(changed)) {
      return;
    }
  }
}

bool ConfigurationLedger::TryActivate(const SectionTexts& changed) {
  SectionTexts texts = sections_;
  for (const auto& [section, text] : changed) {
    texts[section] = text;
  }
  try {
    Activate(changed, parser_(texts));
    return true;
  } catch (const FindingsError&) {
    return false;
  }
}

void ConfigurationLedger::Activate(const SectionTexts& changed,
                                   Configuration configuration) {
  for (const auto& [section, text] : changed) {
    if (text.revision <= sections_.at(section).revision) {
      log_.Write(EventId::kInvariantViolated,
                 "section " + std::string(SectionName(section)) +
                     " would revert to an older revision");
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
  writer_.Apply(section, base_revision, text, author,
                [this, section, callback](const ApplyResult& result) {
                  if (result.status == ApplyStatus::kAccepted) {
                    OnAccepted(section, result.current);
                  }
                  callback(result);
                });
}

void ConfigurationLedger::OnAccepted(Section section, const SectionText& text) {
  peers_.Broadcast(PeerConfigurationSection{std::string(SectionName(section)),
                                            text.revision, text.text});
  MergeSections({{section, text}}, true);
}

}  // namespace filbertshift
