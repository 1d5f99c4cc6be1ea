// The copy of the configuration at this instance: read from the table service
// and from peers, never replaced by an older revision.

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

// Invariant: the revision of a section in force never goes down.
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

  // Called when a new configuration is in force.
  void SetHandler(ChangeCallback on_change);

  // Writes the section and its history row in one transaction conditional on
  // `base_revision`, after validation against the stored other sections. The
  // transaction is also conditional on the other sections: two changes that
  // are valid alone may not be valid together. A lost reply is resolved by
  // reading the history row back.
  void Apply(Section section,
             std::uint64_t base_revision,
             const std::string& text,
             const std::string& author,
             ApplyCallback callback);

  // Sends newer sections to a peer that is behind.
  void OnPeerHeartbeat(const InstanceId& from, const PeerHeartbeat& heartbeat);
  void OnPeerMessage(const PeerConfigurationSection& message);
  void Tick(TimePoint now);

  // True once the table service, or a peer that is verified itself, has given
  // the sections. Before that no request may be served.
  bool verified() const { return verified_; }
  const Configuration& configuration() const { return configuration_; }
  const SectionTexts& sections() const { return sections_; }
  // In the order of ConfigurationSections().
  std::vector<std::uint64_t> Revisions() const;

 private:
  void Poll();
  void Offer(const SectionTexts& offered, bool stored);
  void NoteStale(Section section, std::uint64_t revision);
  // Puts the largest set of candidates into force that is valid together.
  void TryCandidates();
  bool TryTexts(const SectionTexts& changed);
  void Adopt(const SectionTexts& changed, Configuration configuration);
  void LogRejected();

  void OnAccepted(Section section, const SectionText& text);

  const std::chrono::milliseconds poll_interval_;
  TableCalls& table_;
  PeerPort& peers_;
  EventLog& log_;
  const SectionParser parser_;
  ChangeCallback on_change_;

  // Invariant: has every section; configuration_ is parsed from it.
  SectionTexts sections_;
  Configuration configuration_;
  // The highest revision seen of each section that is newer than the one in
  // force, because it is not valid with the others.
  SectionTexts candidates_;
  // The revisions that were logged last, so that a poll does not repeat them.
  // For stale ones the revision plus one; 0 is none.
  std::map<Section, std::uint64_t> logged_rejected_;
  std::map<Section, std::uint64_t> logged_stale_;
  bool verified_ = false;
  bool poll_running_ = false;
  TimePoint next_poll_;
  // Declared after the parser and the sections, to which it refers.
  ConfigurationWriter writer_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_CONFIGURATION_LEDGER_H_
