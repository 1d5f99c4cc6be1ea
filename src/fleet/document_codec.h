// Port for the formats in which operators and endpoints write to the store.

#ifndef SRC_FLEET_DOCUMENT_CODEC_H_
#define SRC_FLEET_DOCUMENT_CODEC_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/fleet/fleet_documents.h"
#include "src/fleet/store_row.h"

namespace filbertshift {

// What a row of the operators' table is about.
struct ConfigurationKey {};
struct RolloutKey {
  ServiceId service;
};
struct EvacuationKey {
  DataCentreId data_centre;
};
using OperatorKey =
    std::variant<std::monostate, ConfigurationKey, RolloutKey, EvacuationKey>;

// Decoders add a finding with the place of each fault; the result is empty if
// the document cannot be used.
class DocumentCodec {
 public:
  virtual ~DocumentCodec() = default;
  // monostate for a key that is not known.
  virtual OperatorKey ParseOperatorKey(const std::string& key) const = 0;
  virtual std::optional<FleetConfiguration> DecodeConfiguration(
      const std::string& text,
      std::vector<Finding>* findings) const = 0;
  virtual std::optional<RoutedEndpoint> DecodeEndpoint(
      const std::string& key,
      const std::string& text,
      std::vector<Finding>* findings) const = 0;
  virtual std::optional<RolloutOrder> DecodeRolloutOrder(
      const std::string& text,
      std::vector<Finding>* findings) const = 0;
  // The row that tells the operator how far a rollout is.
  virtual StoreRow EncodeRolloutStatus(const ServiceId& service,
                                       const VersionId& to,
                                       RolloutPhase state) const = 0;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_DOCUMENT_CODEC_H_
