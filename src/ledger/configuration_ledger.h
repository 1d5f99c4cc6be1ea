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

class ConfigurationLedger {
 public:
  using ChangeCallback = std::function<void(const Configuration&)>;
  using ApplyCallback = std::function<void(const ApplyResult&)>;

  ConfigurationLedger(std::chrono::milliseconds poll_interval,
                      TableCalls& table,
                      PeerPort& peers,
                      const Clock& clock,
                      EventLog& log);

  // Called when a new configuration is in force.
  void SetHandler(ChangeCallback on_change);

  // Writes the section and its history row in one transaction conditional on
  // `base_revision`, after validation against the stored other sections. A
  // lost reply is resolved by reading the section back.
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
  bool verified() const;
  const Configuration& configuration() const;
  const SectionTexts& sections() const;
  // In the order of ConfigurationSections().
  std::vector<std::uint64_t> Revisions() const;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_CONFIGURATION_LEDGER_H_
