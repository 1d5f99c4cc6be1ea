#include "src/config/section_editor.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "src/config/json_tree.h"

namespace filbertshift {

namespace {

constexpr const char* kSource = "section";

// Returns the value at exactly this pointer. Throws std::invalid_argument if it
// does not exist or is of another kind.
const JsonNode& RequireNode(const JsonDocument& document,
                            const std::string& pointer,
                            JsonNode::Kind kind) {
  const JsonNode& node = document.NearestNode(pointer);
  // For a missing value the document returns an ancestor, which has another key
  // or is the root.
  std::string last = pointer.substr(pointer.rfind('/') + 1);
  bool is_member = !node.key.empty();
  bool found = pointer.empty() ? &node == &document.root()
                               : &node != &document.root() &&
                                     (!is_member || node.key == last);
  if (!found || node.kind != kind) {
    throw std::invalid_argument(
        "invalid edit position \"" + pointer + "\": expected " +
        (kind == JsonNode::Kind::kArray ? "an array" : "an object"));
  }
  return node;
}

}  // namespace

SectionEditor::SectionEditor(std::string text) : text_(std::move(text)) {
  JsonDocument parsed(kSource, text_);
}

std::string SectionEditor::FindElement(const std::string& list,
                                       const std::string& key,
                                       const std::string& value) const {
  JsonDocument document(kSource, text_);
  const JsonNode& array = RequireNode(document, list, JsonNode::Kind::kArray);
  for (std::size_t i = 0; i < array.children.size(); ++i) {
    const JsonNode* member = array.children[i].Find(key);
    if (member != nullptr && member->AsString() != nullptr &&
        *member->AsString() == value) {
      return JoinPointer(list, i);
    }
  }
  return std::string();
}

std::string SectionEditor::StringMember(const std::string& object,
                                        const std::string& key) const {
  JsonDocument document(kSource, text_);
  const JsonNode* member =
      RequireNode(document, object, JsonNode::Kind::kObject).Find(key);
  const std::string* value = member == nullptr ? nullptr : member->AsString();
  return value == nullptr ? std::string() : *value;
}

void SectionEditor::SetMember(const std::string& object,
                              const std::string& key,
                              const std::string& json) {
  JsonDocument document(kSource, text_);
  const JsonNode& owner =
      RequireNode(document, object, JsonNode::Kind::kObject);
  if (const JsonNode* member = owner.Find(key)) {
    text_.replace(member->begin, member->end - member->begin, json);
    return;
  }
  std::string added = nlohmann::json(key).dump() + ": " + json;
  if (owner.children.empty()) {
    text_.insert(owner.begin + 1, added);
  } else {
    text_.insert(owner.children.back().end, ", " + added);
  }
}

void SectionEditor::AppendElement(const std::string& list,
                                  const std::string& json) {
  JsonDocument document(kSource, text_);
  const JsonNode& array = RequireNode(document, list, JsonNode::Kind::kArray);
  if (array.children.empty()) {
    text_.insert(array.begin + 1, json);
  } else {
    text_.insert(array.children.back().end, ",\n  " + json);
  }
}

}  // namespace filbertshift
