// Prints text tables to a terminal.

#ifndef SRC_CTL_TABLE_PRINTER_H_
#define SRC_CTL_TABLE_PRINTER_H_

#include <ostream>
#include <string>
#include <vector>

namespace filbertshift {

using TableCells = std::vector<std::string>;

// Escapes control characters, so that text from a log cannot inject terminal
// escape sequences or line breaks.
std::string PrintableText(const std::string& text);

// Each column is as wide as its widest cell. Rows may be shorter than the
// heading.
void PrintTable(std::ostream& out,
                const TableCells& heading,
                const std::vector<TableCells>& rows);

}  // namespace filbertshift

#endif  // SRC_CTL_TABLE_PRINTER_H_
