// Keys and parsing of the configuration section rows in the table service.

#ifndef SRC_LEDGER_SECTION_ROWS_H_
#define SRC_LEDGER_SECTION_ROWS_H_

#include <map>
#include <string>
#include <vector>

#include "src/config/config.h"
#include "src/ports/ports.h"

namespace filbertshift {

std::string SectionKey(Section section);
std::string HistoryKey(Section section, std::uint64_t revision);
// Keys of all section rows.
std::vector<std::string> SectionKeys();

// Returns nullptr if the reply has no row with this key.
const TableRow* FindRow(const TableReply& reply, const std::string& key);

// The sections as stored in the table service.
struct StoredSections {
  SectionTexts texts;
  // Row versions; 0 for a section without a row.
  std::map<Section, std::uint64_t> versions;
};

// A row that cannot be parsed is logged and replaced by the active section, so
// that the previous text is kept.
StoredSections ReadSectionRows(const TableReply& reply,
                               const SectionTexts& active_sections,
                               EventLog& log);

}  // namespace filbertshift

#endif  // SRC_LEDGER_SECTION_ROWS_H_
