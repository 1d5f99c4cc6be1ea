// Tree of JSON values with their source positions, parsed from JSON with
// comments. nlohmann-json does the parsing, but its own value type has no
// source positions and drops duplicate keys.

#ifndef SRC_CONFIG_JSON_TREE_H_
#define SRC_CONFIG_JSON_TREE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

struct JsonNode {
  enum class Kind { kScalar, kArray, kObject };

  // std::monostate stands for null. Only negative integers are signed.
  using Scalar = std::variant<std::monostate,
                              bool,
                              std::int64_t,
                              std::uint64_t,
                              double,
                              std::string>;

  Kind kind = Kind::kScalar;
  // Null for arrays and objects.
  Scalar scalar;
  // Key of an object member; empty for other values.
  std::string key;
  // Byte offsets into the text: the value is [begin, end), the key including
  // its quotes is [key_begin, key_end).
  std::size_t key_begin = 0;
  std::size_t key_end = 0;
  std::size_t begin = 0;
  std::size_t end = 0;
  // Array elements, or object members in text order including duplicate keys.
  std::vector<JsonNode> children;

  // Returns the first member with that key, or nullptr.
  const JsonNode* Find(std::string_view member) const;
  // "object", "array", "string", "integer", "number", "boolean" or "null".
  std::string_view TypeName() const;
  // Returns nullptr if the value is not a string.
  const std::string* AsString() const;
};

class JsonDocument {
 public:
  // Throws FindingsError with the position of a syntax error, or if the text is
  // nested more than kMaxDepth levels.
  JsonDocument(std::string source, std::string text);

  static constexpr int kMaxDepth = 32;

  const std::string& source() const { return source_; }
  const std::string& text() const { return text_; }
  const JsonNode& root() const { return root_; }

  // Returns the value at the JSON pointer, or its deepest existing ancestor.
  const JsonNode& NearestNode(std::string_view pointer) const;
  Finding FindingAt(std::size_t offset,
                    std::string path,
                    std::string message) const;

 private:
  std::string source_;
  std::string text_;
  // Offset of the first byte of each line.
  std::vector<std::size_t> line_starts_;
  JsonNode root_;
};

// Escapes a reference token and appends it to a JSON pointer.
std::string JoinPointer(std::string_view pointer, std::string_view token);
std::string JoinPointer(std::string_view pointer, std::size_t index);

// Returns the offset of the first byte at or after `offset` that is neither
// white space nor part of a comment.
std::size_t SkipSpaceAndComments(std::string_view text, std::size_t offset);

// Serialises the value without white space or comments, keys in text order.
std::string CompactJson(const JsonNode& node);

}  // namespace filbertshift

#endif  // SRC_CONFIG_JSON_TREE_H_
