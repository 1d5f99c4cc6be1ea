// The configuration document: JSON with comments, one text for each section.

#ifndef SRC_CONFIG_CONFIGURATION_DOCUMENT_H_
#define SRC_CONFIG_CONFIGURATION_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/config/configuration.h"
#include "src/config/field_description.h"

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
// text counts as empty. A rollout of a withdrawn candidate is no reason to
// throw, so that withdrawing a version always takes effect; the Validate
// functions report it.
Configuration ParseConfiguration(const SectionTexts& sections);

// The findings of one section in the context of the others, without throwing:
// faults of the section itself, and references of other sections to something
// that it no longer declares. `others` may hold an earlier text of the section.
std::vector<Finding> ValidateSection(Section section,
                                     const std::string& text,
                                     const SectionTexts& others);

// The findings of a whole document with the section names as top-level keys;
// places and paths are those of the document.
std::vector<Finding> ValidateDocument(const std::string& source,
                                      const std::string& document);

// Only whether the text is JSON with comments; empty if it is.
std::vector<Finding> SyntaxFindings(const std::string& source,
                                    const std::string& text);

// Splits one document with the section names as top-level keys into the text
// of each section, with the comments before its key and within it. Throws
// FindingsError.
std::map<Section, std::string> SplitDocument(const std::string& source,
                                             const std::string& document);

// The same without the comments before the key, and with white space before
// each text, so that findings have their place in the document.
std::map<Section, std::string> SplitDocumentInPlace(
    const std::string& source,
    const std::string& document);

// One changed value between two texts of a section.
struct SectionChange {
  // JSON pointer.
  std::string path;
  // JSON texts; empty where the value is absent.
  std::string before;
  std::string after;
};

// The changes by value; comments and white space do not count. Elements of
// lists are matched by their id where each has one; the path then has the id
// in place of the index. Throws FindingsError if a text is not valid JSON.
std::vector<SectionChange> DiffSections(const std::string& before,
                                        const std::string& after);

struct DocumentFieldDescription {
  // The section and so the owner of the field.
  Section section = Section::kModels;
  // The name is the path within the section.
  FieldDescription field;
};

std::vector<DocumentFieldDescription> DescribeDocumentFields();

}  // namespace filbertshift

#endif  // SRC_CONFIG_CONFIGURATION_DOCUMENT_H_
