#include "src/config/json_tree.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace filbertshift {

namespace {

// Counts the bytes that the lexer has read, because the SAX interface does not
// report the positions of values.
class CountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* position, std::size_t* consumed)
      : position_(position), consumed_(consumed) {}
  reference operator*() const { return *position_; }
  CountingIterator& operator++() {
    ++position_;
    ++*consumed_;
    return *this;
  }
  bool operator==(const CountingIterator& other) const {
    return position_ == other.position_;
  }
  bool operator!=(const CountingIterator& other) const {
    return position_ != other.position_;
  }

 private:
  const char* position_;
  std::size_t* consumed_;
};

// Removes the prefix of library messages,
// "[json.exception...] parse error at line 1, column 2: ".
std::string StripLibraryPrefix(const std::string& message) {
  std::size_t bracket = message.find("] ");
  std::size_t start = bracket == std::string::npos ? 0 : bracket + 2;
  if (message.compare(start, 11, "parse error") == 0) {
    std::size_t colon = message.find(": ", start);
    start = colon == std::string::npos ? start : colon + 2;
  }
  return message.substr(start);
}

// Builds the tree from SAX events. Each event is sent directly after its token
// is read, so the token lies between the end of the previous token and the
// number of bytes consumed.
class TreeBuilder : public nlohmann::json_sax<nlohmann::json> {
 public:
  TreeBuilder(std::string_view text, const std::size_t& consumed)
      : text_(text), consumed_(consumed) {}

  bool null() override { return AddScalar(std::monostate(), Lookahead::kNo); }
  bool boolean(bool value) override { return AddScalar(value, Lookahead::kNo); }
  bool number_integer(number_integer_t value) override {
    return AddScalar(value, Lookahead::kYes);
  }
  bool number_unsigned(number_unsigned_t value) override {
    return AddScalar(value, Lookahead::kYes);
  }
  bool number_float(number_float_t value, const string_t&) override {
    return AddScalar(value, Lookahead::kYes);
  }
  bool string(string_t& value) override {
    return AddScalar(std::move(value), Lookahead::kNo);
  }
  bool binary(binary_t&) override { return false; }
  bool key(string_t& value) override {
    key_begin_ = TokenBegin();
    key_ = std::move(value);
    token_end_ = consumed_;
    key_end_ = consumed_;
    return true;
  }
  bool start_object(std::size_t) override {
    return Open(JsonNode::Kind::kObject);
  }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t) override {
    return Open(JsonNode::Kind::kArray);
  }
  bool end_array() override { return Close(); }
  bool parse_error(std::size_t position,
                   const std::string&,
                   const nlohmann::detail::exception& error) override {
    // The library's byte positions are 1-based.
    Fail(position == 0 ? 0 : position - 1, StripLibraryPrefix(error.what()));
    return false;
  }

  JsonNode root;
  bool failed = false;
  std::size_t error_offset = 0;
  std::string error_message;

 private:
  // To find the end of a number, the lexer also consumes the byte after it.
  enum class Lookahead { kNo, kYes };

  std::size_t TokenBegin() const {
    std::size_t offset = SkipSpaceAndComments(text_, token_end_);
    while (offset < text_.size() &&
           (text_[offset] == ',' || text_[offset] == ':')) {
      offset = SkipSpaceAndComments(text_, offset + 1);
    }
    return offset;
  }

  JsonNode NewNode(JsonNode::Kind kind) {
    JsonNode node;
    node.kind = kind;
    node.begin = TokenBegin();
    node.key = std::exchange(key_, std::string());
    node.key_begin = key_begin_;
    node.key_end = key_end_;
    return node;
  }

  bool AddScalar(JsonNode::Scalar value, Lookahead lookahead) {
    JsonNode node = NewNode(JsonNode::Kind::kScalar);
    node.scalar = std::move(value);
    token_end_ = consumed_;
    if (lookahead == Lookahead::kYes) {
      token_end_ = node.begin;
      while (token_end_ < consumed_ && IsNumberByte(text_[token_end_])) {
        ++token_end_;
      }
    }
    node.end = token_end_;
    Add(std::move(node));
    return true;
  }

  static bool IsNumberByte(char c) {
    return (c >= '0' && c <= '9') || c == '-' || c == '+' || c == '.' ||
           c == 'e' || c == 'E';
  }

  void Add(JsonNode node) {
    if (open_.empty()) {
      root = std::move(node);
    } else {
      open_.back().children.push_back(std::move(node));
    }
  }

  bool Open(JsonNode::Kind kind) {
    if (open_.size() >= JsonDocument::kMaxDepth) {
      Fail(TokenBegin(),
           fmt::format("nested more than {} levels", JsonDocument::kMaxDepth));
      return false;
    }
    open_.push_back(NewNode(kind));
    token_end_ = consumed_;
    return true;
  }

  bool Close() {
    JsonNode node = std::move(open_.back());
    open_.pop_back();
    token_end_ = consumed_;
    node.end = token_end_;
    Add(std::move(node));
    return true;
  }

  void Fail(std::size_t offset, std::string message) {
    failed = true;
    error_offset = offset;
    error_message = std::move(message);
  }

  const std::string_view text_;
  const std::size_t& consumed_;
  std::size_t token_end_ = 0;
  std::size_t key_begin_ = 0;
  std::size_t key_end_ = 0;
  std::string key_;
  // Containers that are not closed yet, outermost first.
  std::vector<JsonNode> open_;
};

// The first byte of each line.
std::vector<std::size_t> LineStarts(std::string_view text) {
  std::vector<std::size_t> starts{0};
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\n') {
      starts.push_back(i + 1);
    }
  }
  return starts;
}

std::string UnescapeToken(std::string_view token) {
  std::string plain;
  for (std::size_t i = 0; i < token.size(); ++i) {
    if (token[i] == '~' && i + 1 < token.size()) {
      plain += token[++i] == '0' ? '~' : '/';
    } else {
      plain += token[i];
    }
  }
  return plain;
}

const JsonNode* Child(const JsonNode& node, std::string_view token) {
  if (node.kind == JsonNode::Kind::kObject) {
    return node.Find(UnescapeToken(token));
  }
  std::size_t index = 0;
  auto [end, error] =
      std::from_chars(token.data(), token.data() + token.size(), index);
  bool is_index = error == std::errc() && end == token.data() + token.size();
  return is_index && index < node.children.size() ? &node.children[index]
                                                  : nullptr;
}

nlohmann::json ScalarJson(const JsonNode& node) {
  return std::visit(
      [](const auto& value) -> nlohmann::json {
        if constexpr (std::is_same_v<std::decay_t<decltype(value)>,
                                     std::monostate>) {
          return nullptr;
        } else {
          return value;
        }
      },
      node.scalar);
}

}  // namespace

const JsonNode* JsonNode::Find(std::string_view member) const {
  auto found =
      std::find_if(children.begin(), children.end(), [&](const JsonNode& node) {
        return kind == Kind::kObject && node.key == member;
      });
  return found == children.end() ? nullptr : &*found;
}

std::string_view JsonNode::TypeName() const {
  static constexpr std::string_view kScalarNames[] = {
      "null", "boolean", "integer", "integer", "number", "string"};
  if (kind == Kind::kScalar) {
    return kScalarNames[scalar.index()];
  }
  return kind == Kind::kArray ? "array" : "object";
}

const std::string* JsonNode::AsString() const {
  return kind == Kind::kScalar ? std::get_if<std::string>(&scalar) : nullptr;
}

JsonDocument::JsonDocument(std::string source, std::string text)
    : source_(std::move(source)),
      text_(std::move(text)),
      line_starts_(LineStarts(text_)) {
  std::size_t consumed = 0;
  TreeBuilder builder(text_, consumed);
  const char* begin = text_.data();
  const char* end = begin + text_.size();
  bool ok = nlohmann::json::sax_parse(
      CountingIterator(begin, &consumed), CountingIterator(end, &consumed),
      &builder, nlohmann::json::input_format_t::json, /*strict=*/true,
      /*ignore_comments=*/true);
  if (!ok || builder.failed) {
    std::size_t offset = std::min(builder.error_offset, text_.size());
    throw FindingsError({FindingAt(offset, "", builder.error_message)});
  }
  root_ = std::move(builder.root);
}

const JsonNode& JsonDocument::NearestNode(std::string_view pointer) const {
  const JsonNode* node = &root_;
  while (!pointer.empty()) {
    pointer.remove_prefix(1);
    std::size_t length = std::min(pointer.find('/'), pointer.size());
    const JsonNode* child = Child(*node, pointer.substr(0, length));
    if (child == nullptr) {
      break;
    }
    node = child;
    pointer.remove_prefix(length);
  }
  return *node;
}

Finding JsonDocument::FindingAt(std::size_t offset,
                                std::string path,
                                std::string message) const {
  auto after =
      std::upper_bound(line_starts_.begin(), line_starts_.end(), offset);
  std::size_t line_start = *std::prev(after);
  Finding finding;
  finding.source = source_;
  finding.path = std::move(path);
  finding.line = static_cast<int>(after - line_starts_.begin());
  // Columns count characters, so UTF-8 continuation bytes are skipped.
  finding.column =
      1 + static_cast<int>(std::count_if(
              text_.begin() + static_cast<std::ptrdiff_t>(line_start),
              text_.begin() + static_cast<std::ptrdiff_t>(offset), [](char c) {
                return (static_cast<unsigned char>(c) & 0xC0) != 0x80;
              }));
  finding.message = std::move(message);
  return finding;
}

std::string JoinPointer(std::string_view pointer, std::string_view token) {
  std::string joined(pointer);
  joined += '/';
  for (char c : token) {
    if (c == '~') {
      joined += "~0";
    } else if (c == '/') {
      joined += "~1";
    } else {
      joined += c;
    }
  }
  return joined;
}

std::string JoinPointer(std::string_view pointer, std::size_t index) {
  return fmt::format("{}/{}", pointer, index);
}

std::size_t SkipSpaceAndComments(std::string_view text, std::size_t offset) {
  // The lexer of nlohmann-json also skips a byte order mark.
  if (offset == 0 && text.substr(0, 3) == "\xEF\xBB\xBF") {
    offset = 3;
  }
  while (offset < text.size()) {
    std::string_view rest = text.substr(offset, 2);
    if (rest == "//") {
      offset = std::min(text.find_first_of("\n\r", offset), text.size());
    } else if (rest == "/*") {
      std::size_t end = text.find("*/", offset + 2);
      offset = end == std::string_view::npos ? text.size() : end + 2;
    } else if (std::string_view(" \t\r\n").find(text[offset]) !=
               std::string_view::npos) {
      ++offset;
    } else {
      break;
    }
  }
  return offset;
}

std::string CompactJson(const JsonNode& node) {
  if (node.kind == JsonNode::Kind::kScalar) {
    return ScalarJson(node).dump();
  }
  bool is_object = node.kind == JsonNode::Kind::kObject;
  std::string text(1, is_object ? '{' : '[');
  for (const JsonNode& child : node.children) {
    text += text.size() > 1 ? "," : "";
    text += is_object ? nlohmann::json(child.key).dump() + ":" : "";
    text += CompactJson(child);
  }
  text += is_object ? '}' : ']';
  return text;
}

}  // namespace filbertshift
