// The rows of the configuration sections in the table service.

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

// nullptr if the reply has no such row.
const TableRow* FindRow(const TableReply& reply, const std::string& key);

// The sections as they are stored.
struct StoredSections {
  SectionTexts texts;
  // Versions of the rows; 0 for a section without row.
  std::map<Section, std::uint64_t> versions;
};

// A row that cannot be read counts as the section in force, so that the
// previous text stays, and is logged.
StoredSections ReadSectionRows(const TableReply& reply,
                               const SectionTexts& in_force,
                               EventLog& log);

}  // namespace filbertshift

#endif  // SRC_LEDGER_SECTION_ROWS_H_
