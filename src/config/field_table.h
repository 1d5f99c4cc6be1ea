// Declarative field tables. Each field of a settings file or of the
// configuration document is declared once; parsing, range checks and
// documentation are derived from the declaration.

#ifndef SRC_CONFIG_FIELD_TABLE_H_
#define SRC_CONFIG_FIELD_TABLE_H_

#include <fmt/format.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/config/field_description.h"
#include "src/config/json_tree.h"

namespace filbertshift {

// Collects findings while an input is read.
class FieldReader {
 public:
  explicit FieldReader(const JsonDocument& document) : document_(document) {}

  void Report(const JsonNode& node, std::string path, std::string message) {
    ReportAt(node.begin, std::move(path), std::move(message));
  }
  void ReportAt(std::size_t offset, std::string path, std::string message) {
    findings_.push_back(
        document_.FindingAt(offset, std::move(path), std::move(message)));
  }
  void ReportTypeMismatch(const JsonNode& node,
                          std::string path,
                          std::string_view expected) {
    Report(node, std::move(path),
           fmt::format("expected {}, found {}", expected, node.TypeName()));
  }
  std::vector<Finding>& findings() { return findings_; }

 private:
  const JsonDocument& document_;
  std::vector<Finding> findings_;
};

// One field of the struct T.
template <class T>
struct Field {
  FieldDescription description;
  bool required = false;
  // Reads the value into the struct, or reports findings.
  std::function<
      void(const JsonNode&, const std::string& path, FieldReader&, T*)>
      read;
  // Formats the value as JSON text.
  std::function<std::string(const T&)> format;
  // Describes the fields of a nested object or of list elements; empty for
  // other types.
  std::function<std::vector<FieldDescription>()> describe_nested;
};

template <class T>
using FieldTable = std::vector<Field<T>>;

// Reads an object according to its table. Reports unknown, duplicate and
// missing members.
template <class T>
void ReadObject(const JsonNode& node,
                const std::string& path,
                const FieldTable<T>& table,
                FieldReader& reader,
                T* out) {
  if (node.kind != JsonNode::Kind::kObject) {
    reader.ReportTypeMismatch(node, path, "an object");
    return;
  }
  for (const JsonNode& member : node.children) {
    std::string member_path = JoinPointer(path, member.key);
    if (node.Find(member.key) != &member) {
      reader.ReportAt(member.key_begin, member_path, "duplicate key");
      continue;
    }
    const Field<T>* field = nullptr;
    for (const Field<T>& candidate : table) {
      field = candidate.description.name == member.key ? &candidate : field;
    }
    if (field == nullptr) {
      reader.ReportAt(member.key_begin, member_path, "unknown key");
      continue;
    }
    field->read(member, member_path, reader, out);
  }
  for (const Field<T>& field : table) {
    if (field.required && node.Find(field.description.name) == nullptr) {
      reader.Report(node, path,
                    fmt::format("missing key \"{}\"", field.description.name));
    }
  }
}

// Reads an array of objects. Elements with findings are appended too, so that
// indices match those of the text.
template <class T>
void ReadObjectList(const JsonNode& node,
                    const std::string& path,
                    const FieldTable<T>& table,
                    FieldReader& reader,
                    std::vector<T>* out) {
  if (node.kind != JsonNode::Kind::kArray) {
    reader.ReportTypeMismatch(node, path, "an array");
    return;
  }
  for (std::size_t i = 0; i < node.children.size(); ++i) {
    ReadObject(node.children[i], JoinPointer(path, i), table, reader,
               &out->emplace_back());
  }
}

// Describes all fields of a table. Nested fields follow their parent.
template <class T>
std::vector<FieldDescription> DescribeFields(const FieldTable<T>& table) {
  std::vector<FieldDescription> descriptions;
  const T defaults{};
  for (const Field<T>& field : table) {
    FieldDescription own_description = field.description;
    own_description.default_value =
        field.required ? std::string("required") : field.format(defaults);
    descriptions.push_back(own_description);
    if (!field.describe_nested) {
      continue;
    }
    std::string prefix =
        own_description.name + (own_description.type == "object" ? "." : "[].");
    for (FieldDescription nested : field.describe_nested()) {
      nested.name.insert(0, prefix);
      descriptions.push_back(std::move(nested));
    }
  }
  return descriptions;
}

}  // namespace filbertshift

#endif  // SRC_CONFIG_FIELD_TABLE_H_
