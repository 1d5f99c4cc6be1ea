#include "src/fleet/quarantine_row.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace filbertshift {

namespace {

using nlohmann::json;

constexpr std::int64_t kMaxStrikes = 1000;

}  // namespace

std::string EncodeQuarantineRow(const QuarantineRow& row) {
  return json{{"since", row.since.count()}, {"strikes", row.strikes}}.dump();
}

std::optional<QuarantineRow> DecodeQuarantineRow(const std::string& text) {
  try {
    json value = json::parse(text);
    QuarantineRow row;
    row.since =
        std::chrono::milliseconds(value.at("since").get<std::int64_t>());
    row.strikes = static_cast<int>(std::clamp<std::int64_t>(
        value.at("strikes").get<std::int64_t>(), 0, kMaxStrikes));
    return row;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace filbertshift
