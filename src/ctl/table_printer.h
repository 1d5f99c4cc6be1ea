// Text tables for terminals.

#ifndef SRC_CTL_TABLE_PRINTER_H_
#define SRC_CTL_TABLE_PRINTER_H_

#include <ostream>
#include <string>
#include <vector>

namespace filbertshift {

using TableCells = std::vector<std::string>;

// Replaces control characters, so that text from a log cannot steer the
// terminal or break a line.
std::string PrintableText(const std::string& text);

// Prints columns as wide as their widest cell. Rows may be shorter than the
// heading.
void PrintTable(std::ostream& out,
                const TableCells& heading,
                const std::vector<TableCells>& rows);

}  // namespace filbertshift

#endif  // SRC_CTL_TABLE_PRINTER_H_
