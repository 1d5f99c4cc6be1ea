// Wire format of the load that instances report to each other. The page on
// contention and uneven demand specifies it.

#ifndef SRC_GATEWAY_ENDPOINT_LOAD_MESSAGE_H_
#define SRC_GATEWAY_ENDPOINT_LOAD_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "src/dispatch/dispatch.h"
#include "src/gateway/endpoint_load_changes.h"

namespace filbertshift {

struct LoadMessage {
  InstanceId instance;
  // Differs between the runs of an instance.
  std::uint64_t incarnation = 0;
  DataCentreId data_centre;
  LoadScope scope = LoadScope::kInstance;
  // If `base` is set, only the entries that have changed.
  LoadReport report;
  // Age of the oldest part of a sum.
  std::chrono::milliseconds age{0};
  // Number of this message among those of the sender to the receiver; 0 if the
  // receiver need not keep it.
  std::uint64_t sequence = 0;
  // The earlier message to which `report` applies; 0: `report` is whole.
  std::uint64_t base = 0;
  // In a request: the latest response that the sender has taken; 0: none.
  std::uint64_t held = 0;
};

// Limits of a message from another instance: entries of each list, and bytes of
// the whole message.
constexpr std::size_t kMaxLoadEntries = 4096;
constexpr std::size_t kMaxLoadMessageBytes = std::size_t{256} * 1024;

// Sets the report of the message, whose scope and number are set: whole, or
// what has changed since `held`, which has the number `base` (0: none). `held`
// becomes what the receiver then holds.
void FillReport(LoadReport report,
                std::uint64_t base,
                double tolerance,
                LoadMessage* message,
                LoadReport* held);

// The report must not exceed kMaxLoadEntries.
std::string SerializeLoadMessage(const LoadMessage& message);
// Throws FindingsError if the message is invalid, of another version or too
// large. Elements after the known ones are ignored.
LoadMessage ParseLoadMessage(const std::string& bytes);

}  // namespace filbertshift

#endif  // SRC_GATEWAY_ENDPOINT_LOAD_MESSAGE_H_
