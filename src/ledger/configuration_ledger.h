// The active configuration of this instance, updated from the table service and
// from peers and never replaced by an older revision.

#ifndef SRC_LEDGER_CONFIGURATION_LEDGER_H_
#define SRC_LEDGER_CONFIGURATION_LEDGER_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/config/config.h"
#include "src/ledger/configuration_writer.h"
#include "src/ledger/table_calls.h"

namespace filbertshift {

// Invariant: the active revision of a section never decreases.
class ConfigurationLedger {
 public:
  using ChangeCallback = std::function<void(const Configuration&)>;
  using ApplyCallback = ConfigurationWriter::Callback;

  ConfigurationLedger(std::chrono::milliseconds poll_interval,
                      TableCalls& table,
                      PeerPort& peers,
                      const Clock& clock,
                      EventLog& log,
                      SectionParser parser = ParseConfiguration);

  // `on_change` is called after each change of the active configuration.
  void SetHandler(ChangeCallback on_change);

  // Validates the section together with the other stored sections, then writes
  // it and its history row in one transaction that is conditional on
  // `base_revision`. The transaction is also conditional on the other sections,
  // because two changes that are valid alone may be invalid together. After a
  // lost reply, the history row is read to find out the outcome.
  void Apply(Section section,
             std::uint64_t base_revision,
             const std::string& text,
             const std::string& author,
             ApplyCallback callback);

  // Sends the sections of which the peer has an older revision.
  void OnPeerHeartbeat(const InstanceId& from, const PeerHeartbeat& heartbeat);
  void OnPeerMessage(const PeerConfigurationSection& message);
  void Tick(TimePoint now);

  // True once the sections have been confirmed by the table service or by a
  // peer that is verified itself. No request may be served before that.
  bool verified() const { return verified_; }
  const Configuration& configuration() const { return configuration_; }
  const SectionTexts& sections() const { return sections_; }
  // Active revisions in the order of ConfigurationSections().
  std::vector<std::uint64_t> Revisions() const;

 private:
  void Poll();
  void MergeSections(const SectionTexts& received, bool is_stored);
  void LogStale(Section section, std::uint64_t revision);
  // Activates the largest set of candidates that is valid together.
  void ActivateCandidates();
  bool TryActivate(const SectionTexts& changed);
  void Activate(const SectionTexts& changed, Configuration configuration);
  void LogRejected();

  void OnAccepted(Section section, const SectionText& text);

  const std::chrono::milliseconds poll_interval_;
  TableCalls& table_;
  PeerPort& peers_;
  EventLog& log_;
  const SectionParser parser_;
  ChangeCallback on_change_;

  // Active sections. Invariant: has every section, and configuration_ is parsed
  // from it.
  SectionTexts sections_;
  Configuration configuration_;
  // The highest known revision of each section that is newer than the active
  // one and not active, because it is invalid together with the others.
  SectionTexts candidates_;
  // Last logged revision of each section, so that it is not logged again at
  // each poll; 0 if none. logged_stale_ holds the revision plus one, since
  // revision 0 can be stale.
  std::map<Section, std::uint64_t> logged_rejected_;
  std::map<Section, std::uint64_t> logged_stale_;
  bool verified_ = false;
  bool poll_running_ = false;
  TimePoint next_poll_;
  // Holds references to parser_ and sections_; must be declared after them.
  ConfigurationWriter writer_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_CONFIGURATION_LEDGER_H_
