// Tables of fields: each field of a settings file or of the configuration
// document is declared once, and parsing, range checks and documentation come
// from that declaration.

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

// Collects the findings of one input while it is read.
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
  // Reports a value of the wrong type.
  void ReportType(const JsonNode& node,
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
  // Reads the value into the struct or reports findings.
  std::function<
      void(const JsonNode&, const std::string& path, FieldReader&, T*)>
      read;
  // Writes the value of a struct as it would stand in the text.
  std::function<std::string(const T&)> format;
  // Fields of the nested object or of the elements of a list.
  std::function<std::vector<FieldDescription>()> describe_nested;
};

template <class T>
using FieldTable = std::vector<Field<T>>;

// Reads all members of an object by its table. Reports unknown, duplicate and
// missing members.
template <class T>
void ReadObject(const JsonNode& node,
                const std::string& path,
                const FieldTable<T>& table,
                FieldReader& reader,
                T* out) {
  if (node.kind != JsonNode::Kind::kObject) {
    reader.ReportType(node, path, "an object");
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

// Reads an array of objects. An element with findings is appended all the
// same, so that indices match those of the text.
template <class T>
void ReadObjectList(const JsonNode& node,
                    const std::string& path,
                    const FieldTable<T>& table,
                    FieldReader& reader,
                    std::vector<T>* out) {
  if (node.kind != JsonNode::Kind::kArray) {
    reader.ReportType(node, path, "an array");
    return;
  }
  for (std::size_t i = 0; i < node.children.size(); ++i) {
    ReadObject(node.children[i], JoinPointer(path, i), table, reader,
               &out->emplace_back());
  }
}

// The descriptions of a table, nested ones after their parent.
template <class T>
std::vector<FieldDescription> DescribeFields(const FieldTable<T>& table) {
  std::vector<FieldDescription> descriptions;
  const T defaults{};
  for (const Field<T>& field : table) {
    FieldDescription own = field.description;
    own.default_value =
        field.required ? std::string("required") : field.format(defaults);
    descriptions.push_back(own);
    if (!field.describe_nested) {
      continue;
    }
    std::string prefix = own.name + (own.type == "object" ? "." : "[].");
    for (FieldDescription nested : field.describe_nested()) {
      nested.name.insert(0, prefix);
      descriptions.push_back(std::move(nested));
    }
  }
  return descriptions;
}

}  // namespace filbertshift

#endif  // SRC_CONFIG_FIELD_TABLE_H_
