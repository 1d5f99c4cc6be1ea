// The configuration document: JSON with comments, one text for each section.

#ifndef SRC_CONFIG_CONFIGURATION_DOCUMENT_H_
#define SRC_CONFIG_CONFIGURATION_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/config/configuration.h"

namespace filbertshift {

struct SectionText {
  // 0 for a section that was never applied.
  std::uint64_t revision = 0;
  std::string text;
};

using SectionTexts = std::map<Section, SectionText>;

// Builds the typed configuration from all sections. Throws FindingsError with
// every fault: syntax, unknown keys, wrong types, units and ranges, duplicate
// ids, and references to ids that no section declares. A section with empty
// text counts as empty.
Configuration ParseConfiguration(const SectionTexts& sections);

// The findings of one section in the context of the others, without throwing.
std::vector<Finding> ValidateSection(Section section,
                                     const std::string& text,
                                     const SectionTexts& others);

// Splits one document with the section names as top-level keys into the text
// of each section, comments kept. Throws FindingsError.
std::map<Section, std::string> SplitDocument(const std::string& source,
                                             const std::string& document);

// One changed value between two texts of a section.
struct SectionChange {
  // JSON pointer.
  std::string path;
  // JSON texts; empty where the value is absent.
  std::string before;
  std::string after;
};

// The changes by value; comments and white space do not count. Throws
// FindingsError if a text is not valid JSON.
std::vector<SectionChange> DiffSections(const std::string& before,
                                        const std::string& after);

}  // namespace filbertshift

#endif  // SRC_CONFIG_CONFIGURATION_DOCUMENT_H_
