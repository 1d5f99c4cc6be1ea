// Interface for decoding the documents that operators and endpoints write to
// the store.

#ifndef SRC_FLEET_DOCUMENT_CODEC_H_
#define SRC_FLEET_DOCUMENT_CODEC_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/fleet/fleet_documents.h"
#include "src/fleet/store_row.h"

namespace filbertshift {

// Subject of a row of the operator table.
struct ConfigurationKey {};
struct RolloutKey {
  ServiceId service;
};
struct EvacuationKey {
  DataCentreId data_centre;
};
using OperatorKey =
    std::variant<std::monostate, ConfigurationKey, RolloutKey, EvacuationKey>;

// Decoders add a finding with the location of each error and return an empty
// result if the document is invalid.
class DocumentCodec {
 public:
  virtual ~DocumentCodec() = default;
  // Returns std::monostate for an unknown key.
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
  // Returns the row that reports the state of a rollout to operators.
  virtual StoreRow EncodeRolloutStatus(const ServiceId& service,
                                       const VersionId& to,
                                       RolloutPhase state) const = 0;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_DOCUMENT_CODEC_H_
