#include "src/ctl/table_printer.h"

#include <fmt/format.h>

#include <algorithm>

namespace filbertshift {

namespace {

void PrintRow(std::ostream& out,
              const TableCells& row,
              const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i) {
    line += fmt::format("{:<{}}  ", PrintableText(row[i]), widths[i]);
  }
  line.erase(line.find_last_not_of(' ') + 1);
  out << line << "\n";
}

}  // namespace

std::string PrintableText(const std::string& text) {
  std::string printable;
  for (char c : text) {
    auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7F) {
      printable += fmt::format("\\x{:02x}", byte);
    } else {
      printable += c;
    }
  }
  return printable;
}

void PrintTable(std::ostream& out,
                const TableCells& heading,
                const std::vector<TableCells>& rows) {
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < heading.size(); ++i) {
    widths.push_back(heading[i].size());
    for (const TableCells& row : rows) {
      widths[i] = std::max(widths[i], i < row.size() ? row[i].size() : 0);
    }
  }
  PrintRow(out, heading, widths);
  for (const TableCells& row : rows) {
    PrintRow(out, row, widths);
  }
}

}  // namespace filbertshift
