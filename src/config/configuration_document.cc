#include "src/config/configuration_document.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "src/config/document_checks.h"
#include "src/config/document_fields.h"

namespace filbertshift {

namespace {

struct SectionFinding {
  Section section;
  // For a dangling reference: the section that should declare the id.
  std::optional<Section> missing_from;
  bool blocking = true;
  Finding finding;
};

// A section within a parsed document.
struct SectionSource {
  const JsonDocument* document = nullptr;
  const JsonNode* node = nullptr;
  // JSON pointer of the section; empty if the section is the whole document.
  std::string prefix;
};

// Reads sections into one configuration and collects their findings.
class ConfigurationReader {
 public:
  void Read(Section section, const SectionSource& source) {
    sources_[section] = source;
    FieldReader reader(*source.document);
    ReadFields(section, source, reader);
    for (Finding& finding : reader.findings()) {
      findings_.push_back({section, std::nullopt, true, std::move(finding)});
    }
  }

  // Marks a section with a syntax error. References into it are not reported,
  // because the ids that it declares are unknown.
  void MarkUnreadable(Section section, std::vector<Finding> findings) {
    unreadable_.push_back(section);
    for (Finding& finding : findings) {
      findings_.push_back({section, std::nullopt, true, std::move(finding)});
    }
  }

  std::vector<SectionFinding> Finish() {
    for (SemanticError& semantic_error : CheckSemantics(configuration_)) {
      bool known = !semantic_error.missing_from ||
                   IsReadable(*semantic_error.missing_from);
      auto source = sources_.find(semantic_error.section);
      if (!known || source == sources_.end()) {
        continue;
      }
      std::string path = source->second.prefix + semantic_error.path;
      const JsonDocument& document = *source->second.document;
      findings_.push_back(
          {semantic_error.section, semantic_error.missing_from,
           semantic_error.blocking,
           document.FindingAt(document.NearestNode(path).begin, path,
                              std::move(semantic_error.message))});
    }
    return std::move(findings_);
  }

  Configuration& configuration() { return configuration_; }

 private:
  bool IsReadable(Section section) const {
    return std::find(unreadable_.begin(), unreadable_.end(), section) ==
           unreadable_.end();
  }

  void ReadFields(Section section,
                  const SectionSource& source,
                  FieldReader& reader) {
    const JsonNode& node = *source.node;
    switch (section) {
      case Section::kModels:
        ReadObject(node, source.prefix, ModelsSectionFields(), reader,
                   &configuration_);
        return;
      case Section::kClientAccounts:
        ReadObjectList(node, source.prefix, ClientAccountFields(), reader,
                       &configuration_.accounts);
        return;
      case Section::kDataCentres:
        ReadObjectList(node, source.prefix, DataCentreFields(), reader,
                       &configuration_.data_centres);
        return;
      case Section::kRollouts:
        ReadObjectList(node, source.prefix, RolloutFields(), reader,
                       &configuration_.rollouts);
        return;
    }
  }

  Configuration configuration_;
  std::map<Section, SectionSource> sources_;
  std::vector<Section> unreadable_;
  std::vector<SectionFinding> findings_;
};

bool IsEmptyText(const std::string& text) {
  return SkipSpaceAndComments(text, 0) == text.size();
}

struct ReadResult {
  Configuration configuration;
  std::vector<SectionFinding> findings;
};

ReadResult ReadSections(const SectionTexts& sections) {
  ConfigurationReader reader;
  std::map<Section, JsonDocument> documents;
  for (const auto& [section, text] : sections) {
    if (IsEmptyText(text.text)) {
      continue;
    }
    try {
      auto [document, inserted] = documents.emplace(
          section, JsonDocument(std::string(SectionName(section)), text.text));
      reader.Read(section, {&document->second, &document->second.root(), ""});
    } catch (const FindingsError& error) {
      reader.MarkUnreadable(section, error.findings());
    }
  }
  ReadResult result;
  result.findings = reader.Finish();
  result.configuration = std::move(reader.configuration());
  return result;
}

// Reports top-level members that are unknown or duplicate sections.
std::vector<Finding> CheckTopLevel(const JsonDocument& document) {
  FieldReader reader(document);
  if (document.root().kind != JsonNode::Kind::kObject) {
    reader.ReportTypeMismatch(document.root(), "", "an object with sections");
    return reader.findings();
  }
  for (const JsonNode& member : document.root().children) {
    std::string path = JoinPointer("", member.key);
    bool known = std::any_of(
        ConfigurationSections().begin(), ConfigurationSections().end(),
        [&](Section section) { return SectionName(section) == member.key; });
    if (!known) {
      reader.ReportAt(member.key_begin, path, "unknown section");
    } else if (document.root().Find(member.key) != &member) {
      reader.ReportAt(member.key_begin, path, "duplicate section");
    }
  }
  return reader.findings();
}

// Returns the comments between a separator and the token at `end`. `begin` is
// the end of the token before the separator.
std::string CommentsAfterSeparator(const std::string& text,
                                   std::size_t begin,
                                   std::size_t end) {
  std::size_t separator = SkipSpaceAndComments(text, begin);
  if (separator < end) {
    begin = separator + 1;
  }
  std::string between = text.substr(begin, end - begin);
  std::size_t first = between.find('/');
  return first == std::string::npos ? std::string() : between.substr(first);
}

// Returns text[begin, end) preceded by white space that preserves its line and
// column numbers.
std::string PaddedText(const std::string& text,
                       std::size_t begin,
                       std::size_t end) {
  std::string padded;
  for (std::size_t i = 0; i < begin; ++i) {
    // Columns count characters, so UTF-8 continuation bytes are skipped.
    if ((static_cast<unsigned char>(text[i]) & 0xC0) != 0x80) {
      padded += text[i] == '\n' ? '\n' : ' ';
    }
  }
  return padded + text.substr(begin, end - begin);
}

// Throws FindingsError for a syntax error or an invalid top level.
JsonDocument ParseWholeDocument(const std::string& source,
                                const std::string& document) {
  JsonDocument parsed(source, document);
  std::vector<Finding> findings = CheckTopLevel(parsed);
  if (!findings.empty()) {
    throw FindingsError(std::move(findings));
  }
  return parsed;
}

void Diff(const std::string& path,
          const JsonNode* before,
          const JsonNode* after,
          std::vector<SectionChange>* changes);

// Returns the id by which list elements are matched, so that an insertion is
// not reported as a change of all elements after it.
std::string ElementKey(const JsonNode& element) {
  static constexpr std::string_view kIdKeys[] = {
      "account", "data_centre", "service", "version", "name", "model"};
  for (std::string_view id_key : kIdKeys) {
    const JsonNode* id = element.Find(id_key);
    if (id != nullptr && id->AsString() != nullptr) {
      return *id->AsString();
    }
  }
  return std::string();
}

// Returns the keys by which children are matched, or std::nullopt if they have
// no unique keys and the node is compared as a whole.
std::optional<std::vector<std::string>> ChildKeys(const JsonNode& node) {
  std::vector<std::string> keys;
  for (const JsonNode& child : node.children) {
    keys.push_back(node.kind == JsonNode::Kind::kObject ? child.key
                                                        : ElementKey(child));
  }
  std::vector<std::string> sorted = keys;
  std::sort(sorted.begin(), sorted.end());
  bool unique =
      std::adjacent_find(sorted.begin(), sorted.end()) == sorted.end() &&
      (sorted.empty() || !sorted.front().empty() ||
       node.kind == JsonNode::Kind::kObject);
  return unique ? std::make_optional(keys) : std::nullopt;
}

void DiffByKey(const std::string& path,
               const JsonNode& before,
               const std::vector<std::string>& before_keys,
               const JsonNode& after,
               const std::vector<std::string>& after_keys,
               std::vector<SectionChange>* changes) {
  auto index_of = [](const std::vector<std::string>& keys,
                     const std::string& key) {
    return static_cast<std::size_t>(std::find(keys.begin(), keys.end(), key) -
                                    keys.begin());
  };
  for (std::size_t i = 0; i < before_keys.size(); ++i) {
    std::size_t j = index_of(after_keys, before_keys[i]);
    const JsonNode* match =
        j < after_keys.size() ? &after.children[j] : nullptr;
    Diff(JoinPointer(path, before_keys[i]), &before.children[i], match,
         changes);
  }
  for (std::size_t j = 0; j < after_keys.size(); ++j) {
    if (index_of(before_keys, after_keys[j]) == before_keys.size()) {
      Diff(JoinPointer(path, after_keys[j]), nullptr, &after.children[j],
           changes);
    }
  }
}

void Diff(const std::string& path,
          const JsonNode* before,
          const JsonNode* after,
          std::vector<SectionChange>* changes) {
  std::string before_text = before == nullptr ? "" : CompactJson(*before);
  std::string after_text = after == nullptr ? "" : CompactJson(*after);
  if (before_text == after_text) {
    return;
  }
  if (before != nullptr && after != nullptr && before->kind == after->kind &&
      before->kind != JsonNode::Kind::kScalar) {
    auto before_keys = ChildKeys(*before);
    auto after_keys = ChildKeys(*after);
    if (before_keys && after_keys) {
      DiffByKey(path, *before, *before_keys, *after, *after_keys, changes);
      return;
    }
  }
  changes->push_back({path, std::move(before_text), std::move(after_text)});
}

std::optional<JsonDocument> ParseIfNotEmpty(const char* source,
                                            const std::string& text) {
  return IsEmptyText(text)
             ? std::nullopt
             : std::make_optional<JsonDocument>(std::string(source), text);
}

}  // namespace

Configuration ParseConfiguration(const SectionTexts& sections) {
  ReadResult result = ReadSections(sections);
  std::vector<Finding> blocking;
  for (SectionFinding& finding : result.findings) {
    if (finding.blocking) {
      blocking.push_back(std::move(finding.finding));
    }
  }
  if (!blocking.empty()) {
    throw FindingsError(std::move(blocking));
  }
  return std::move(result.configuration);
}

std::vector<Finding> ValidateSection(Section section,
                                     const std::string& text,
                                     const SectionTexts& others) {
  SectionTexts sections = others;
  sections[section].text = text;
  std::vector<Finding> findings;
  for (SectionFinding& finding : ReadSections(sections).findings) {
    if (finding.section == section || finding.missing_from == section) {
      findings.push_back(std::move(finding.finding));
    }
  }
  return findings;
}

std::vector<Finding> ValidateDocument(const std::string& source,
                                      const std::string& document) {
  try {
    JsonDocument parsed(source, document);
    std::vector<Finding> findings = CheckTopLevel(parsed);
    ConfigurationReader reader;
    for (Section section : ConfigurationSections()) {
      const JsonNode* node = parsed.root().Find(SectionName(section));
      if (node != nullptr) {
        reader.Read(section,
                    {&parsed, node, JoinPointer("", SectionName(section))});
      }
    }
    for (SectionFinding& finding : reader.Finish()) {
      findings.push_back(std::move(finding.finding));
    }
    return findings;
  } catch (const FindingsError& error) {
    return error.findings();
  }
}

std::vector<Finding> SyntaxFindings(const std::string& source,
                                    const std::string& text) {
  try {
    JsonDocument parsed(source, text);
    return {};
  } catch (const FindingsError& error) {
    return error.findings();
  }
}

std::map<Section, std::string> SplitDocument(const std::string& source,
                                             const std::string& document) {
  JsonDocument parsed = ParseWholeDocument(source, document);
  std::map<Section, std::string> texts;
  // The opening brace is the separator of the first member.
  std::size_t previous_end = parsed.root().begin;
  for (const JsonNode& member : parsed.root().children) {
    texts[ParseSectionName(member.key)] =
        CommentsAfterSeparator(document, previous_end, member.key_begin) +
        CommentsAfterSeparator(document, member.key_end, member.begin) +
        document.substr(member.begin, member.end - member.begin) + "\n";
    previous_end = member.end;
  }
  return texts;
}

std::map<Section, std::string> SplitDocumentPadded(
    const std::string& source,
    const std::string& document) {
  JsonDocument parsed = ParseWholeDocument(source, document);
  std::map<Section, std::string> texts;
  for (const JsonNode& member : parsed.root().children) {
    texts[ParseSectionName(member.key)] =
        PaddedText(document, member.begin, member.end);
  }
  return texts;
}

std::vector<SectionChange> DiffSections(const std::string& before,
                                        const std::string& after) {
  std::optional<JsonDocument> old_document = ParseIfNotEmpty("before", before);
  std::optional<JsonDocument> new_document = ParseIfNotEmpty("after", after);
  std::vector<SectionChange> changes;
  Diff("", old_document ? &old_document->root() : nullptr,
       new_document ? &new_document->root() : nullptr, &changes);
  return changes;
}

std::vector<DocumentFieldDescription> DescribeDocumentFields() {
  std::vector<DocumentFieldDescription> descriptions;
  auto add = [&](Section section, std::string_view prefix,
                 std::vector<FieldDescription> fields) {
    for (FieldDescription& field : fields) {
      field.name.insert(0, prefix);
      descriptions.push_back({section, std::move(field)});
    }
  };
  add(Section::kModels, "", DescribeFields(ModelsSectionFields()));
  add(Section::kClientAccounts, "[].", DescribeFields(ClientAccountFields()));
  add(Section::kDataCentres, "[].", DescribeFields(DataCentreFields()));
  add(Section::kRollouts, "[].", DescribeFields(RolloutFields()));
  return descriptions;
}

}  // namespace filbertshift
