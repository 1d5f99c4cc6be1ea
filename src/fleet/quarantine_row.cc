#include "src/fleet/quarantine_row.h"

#include <cstdint>
#include <nlohmann/json.hpp>

#include "src/common/document_reader.h"

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
    json value = ParseJson(text);
    QuarantineRow row;
    row.since = std::chrono::milliseconds(
        ToInteger(value.at("since"), -kMaxCount, kMaxCount));
    row.strikes =
        static_cast<int>(ToInteger(value.at("strikes"), 0, kMaxStrikes));
    return row;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const DocumentError&) {
    return std::nullopt;
  }
}

}  // namespace filbertshift
