// Row that keeps a blocked crash cause beyond the life of the instances.

#ifndef SRC_FLEET_QUARANTINE_ROW_H_
#define SRC_FLEET_QUARANTINE_ROW_H_

#include <chrono>
#include <optional>
#include <string>

namespace filbertshift {

struct QuarantineRow {
  // When the block started, by the store's clock.
  std::chrono::milliseconds since{0};
  // Trials after which the cause has crashed an endpoint again.
  int strikes = 0;
};

std::string EncodeQuarantineRow(const QuarantineRow& row);
// Returns an empty value if the text is not a valid row.
std::optional<QuarantineRow> DecodeQuarantineRow(const std::string& text);

}  // namespace filbertshift

#endif  // SRC_FLEET_QUARANTINE_ROW_H_
