// Parses, validates, splits and compares the configuration document: JSON with
// comments, stored as one text per section.

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
  // 0 for a section that has never been written.
  std::uint64_t revision = 0;
  std::string text;
};

using SectionTexts = std::map<Section, SectionText>;

// Builds the typed configuration from all sections. Throws FindingsError with
// all errors: syntax, unknown keys, wrong types, units and ranges, duplicate
// ids, and references to undeclared ids. An empty text stands for an empty
// section. A rollout with a withdrawn candidate does not throw, so that
// withdrawing a version always takes effect; the Validate functions report it.
Configuration ParseConfiguration(const SectionTexts& sections);

// Returns the findings of one section in the context of the others: errors in
// the section itself, and references in other sections to ids that it no longer
// declares. An earlier text of the section in `others` is ignored.
std::vector<Finding> ValidateSection(Section section,
                                     const std::string& text,
                                     const SectionTexts& others);

// Returns the findings of a whole document with the section names as top-level
// keys. Positions and paths refer to the document.
std::vector<Finding> ValidateDocument(const std::string& source,
                                      const std::string& document);

// Checks the syntax only. Returns nothing if the text is JSON with comments.
std::vector<Finding> SyntaxFindings(const std::string& source,
                                    const std::string& text);

// Splits a document with the section names as top-level keys into the text of
// each section, including the comments before its key and inside it. Throws
// FindingsError.
std::map<Section, std::string> SplitDocument(const std::string& source,
                                             const std::string& document);

// As SplitDocument, but drops the comments before the key and pads each text
// with white space, so that the positions of findings are those in the
// document.
std::map<Section, std::string> SplitDocumentPadded(const std::string& source,
                                                   const std::string& document);

// One value that differs between two texts of a section.
struct SectionChange {
  // JSON pointer.
  std::string path;
  // JSON text of the value; empty if it is absent.
  std::string before;
  std::string after;
};

// Compares by value and ignores comments and white space. List elements are
// matched by id if each has one; the path then contains the id instead of the
// index. Throws FindingsError if a text is not valid JSON.
std::vector<SectionChange> DiffSections(const std::string& before,
                                        const std::string& after);

struct DocumentFieldDescription {
  // Determines the owner of the field.
  Section section = Section::kModels;
  // `name` is the path within the section.
  FieldDescription field;
};

std::vector<DocumentFieldDescription> DescribeDocumentFields();

}  // namespace filbertshift

#endif  // SRC_CONFIG_CONFIGURATION_DOCUMENT_H_
