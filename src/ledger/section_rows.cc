#include "src/ledger/section_rows.h"

#include <nlohmann/json.hpp>

namespace filbertshift {
namespace {

using Json = nlohmann::json;

// Throws nlohmann::json::exception if the value is not a valid row.
SectionText ParseSectionRow(const std::string& value) {
  const Json json = Json::parse(value);
  SectionText text;
  text.revision = json.at("revision").get<std::uint64_t>();
  text.text = json.at("text").get<std::string>();
  return text;
}

}  // namespace

std::string SectionKey(Section section) {
  return "config/" + std::string(SectionName(section));
}

std::string HistoryKey(Section section, std::uint64_t revision) {
  return "config-history/" + std::string(SectionName(section)) + "/" +
         std::to_string(revision);
}

const TableRow* FindRow(const TableReply& reply, const std::string& key) {
  for (const TableRow& row : reply.rows) {
    if (row.key == key) {
      return &row;
    }
  }
  return nullptr;
}

std::vector<std::string> SectionKeys() {
  std::vector<std::string> keys;
  for (Section section : ConfigurationSections()) {
    keys.push_back(SectionKey(section));
  }
  return keys;
}

StoredSections ReadSectionRows(const TableReply& reply,
                               const SectionTexts& active_sections,
                               EventLog& log) {
  StoredSections stored;
  for (Section section : ConfigurationSections()) {
    stored.texts[section] = SectionText();
    stored.versions[section] = 0;
    const TableRow* row = FindRow(reply, SectionKey(section));
    if (row == nullptr) {
      continue;
    }
    stored.versions[section] = row->version;
    try {
      stored.texts[section] = ParseSectionRow(row->value);
    } catch (const Json::exception& error) {
      log.Write(EventId::kConfigurationRejected,
                row->key + " is not a valid section row: " + error.what());
      stored.texts[section] = active_sections.at(section);
    }
  }
  return stored;
}

}  // namespace filbertshift
