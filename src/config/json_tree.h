// JSON text with comments as a tree of values that know their place in the
// text. nlohmann-json does the parsing; its own value type has no places and
// drops duplicate keys.

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

  // std::monostate is null. Integers are unsigned unless negative.
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
  // Byte offsets. The value is the text from `begin` to before `end`. The key
  // is the text from `key_begin` to before `key_end`, quotes included.
  std::size_t key_begin = 0;
  std::size_t key_end = 0;
  std::size_t begin = 0;
  std::size_t end = 0;
  // Array elements, or object members in the order of the text. Duplicate keys
  // are kept.
  std::vector<JsonNode> children;

  // The first member with that key, or nullptr.
  const JsonNode* Find(std::string_view member) const;
  // "object", "array", "string", "integer", "number", "boolean" or "null".
  std::string_view TypeName() const;
  // nullptr if the value is not a string.
  const std::string* AsString() const;
};

class JsonDocument {
 public:
  // Throws FindingsError with the place of a syntax error. Texts nested more
  // than kMaxDepth levels are refused.
  JsonDocument(std::string source, std::string text);

  static constexpr int kMaxDepth = 32;

  const std::string& source() const { return source_; }
  const std::string& text() const { return text_; }
  const JsonNode& root() const { return root_; }

  // The value at the JSON pointer, or the deepest ancestor that exists.
  const JsonNode& Nearest(std::string_view pointer) const;
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

// Appends one reference token to a JSON pointer, escaped.
std::string JoinPointer(std::string_view pointer, std::string_view token);
std::string JoinPointer(std::string_view pointer, std::size_t index);

// Offset of the first byte after `offset` that belongs to neither white space
// nor a comment.
std::size_t SkipSpaceAndComments(std::string_view text, std::size_t offset);

// The value as compact JSON, without comments, keys in the order of the text.
std::string CompactJson(const JsonNode& node);

}  // namespace filbertshift

#endif  // SRC_CONFIG_JSON_TREE_H_
