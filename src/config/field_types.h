// Field declarations by type, for use in field tables.

#ifndef SRC_CONFIG_FIELD_TYPES_H_
#define SRC_CONFIG_FIELD_TYPES_H_

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "src/config/duration.h"
#include "src/config/field_table.h"

namespace filbertshift {

enum class Presence { kOptional, kRequired };

template <class N>
struct ValueRange {
  N min;
  N max;
};

namespace field_internal {

// Returns an error message for a wrong type or a value out of range.
template <class N>
std::optional<std::string> ReadInteger(const JsonNode& node,
                                       ValueRange<N> range,
                                       N* out) {
  bool fits = false;
  if (const auto* positive = std::get_if<std::uint64_t>(&node.scalar)) {
    fits =
        *positive <= static_cast<std::uint64_t>(range.max) &&
        (range.min <= 0 || *positive >= static_cast<std::uint64_t>(range.min));
    *out = fits ? static_cast<N>(*positive) : *out;
  } else if (const auto* negative = std::get_if<std::int64_t>(&node.scalar)) {
    fits = std::is_signed_v<N> &&
           *negative >= static_cast<std::int64_t>(range.min);
    *out = fits ? static_cast<N>(*negative) : *out;
  } else {
    return fmt::format("expected an integer, found {}", node.TypeName());
  }
  return fits ? std::nullopt
              : std::optional<std::string>(
                    fmt::format("out of range {} to {}", range.min, range.max));
}

inline std::string Quote(std::string_view text) {
  return fmt::format("\"{}\"", text);
}

}  // namespace field_internal

// N has at most 64 bits, and the range must be representable in N.
template <class T, class N>
Field<T> IntegerField(std::string name,
                      N T::*member,
                      Presence presence,
                      ValueRange<N> range,
                      std::string unit,
                      std::string meaning) {
  Field<T> field;
  field.description = {std::move(name),
                       "integer",
                       std::move(unit),
                       "",
                       fmt::format("{} to {}", range.min, range.max),
                       std::move(meaning)};
  field.required = presence == Presence::kRequired;
  field.read = [member, range](const JsonNode& node, const std::string& path,
                               FieldReader& reader, T* out) {
    if (auto message =
            field_internal::ReadInteger(node, range, &(out->*member))) {
      reader.Report(node, path, *message);
    }
  };
  field.format = [member](const T& value) {
    return fmt::format("{}", value.*member);
  };
  return field;
}

template <class T>
Field<T> NumberField(std::string name,
                     double T::*member,
                     Presence presence,
                     ValueRange<double> range,
                     std::string unit,
                     std::string meaning) {
  Field<T> field;
  field.description = {std::move(name),
                       "number",
                       std::move(unit),
                       "",
                       fmt::format("{} to {}", range.min, range.max),
                       std::move(meaning)};
  field.required = presence == Presence::kRequired;
  field.read = [member, range](const JsonNode& node, const std::string& path,
                               FieldReader& reader, T* out) {
    double value = 0;
    if (const auto* integer = std::get_if<std::uint64_t>(&node.scalar)) {
      value = static_cast<double>(*integer);
    } else if (const auto* negative = std::get_if<std::int64_t>(&node.scalar)) {
      value = static_cast<double>(*negative);
    } else if (const auto* number = std::get_if<double>(&node.scalar)) {
      value = *number;
    } else {
      reader.ReportTypeMismatch(node, path, "a number");
      return;
    }
    if (!(value >= range.min && value <= range.max)) {
      reader.Report(node, path,
                    fmt::format("out of range {} to {}", range.min, range.max));
      return;
    }
    out->*member = value;
  };
  field.format = [member](const T& value) {
    return fmt::format("{}", value.*member);
  };
  return field;
}

template <class T>
Field<T> DurationField(std::string name,
                       std::chrono::milliseconds T::*member,
                       Presence presence,
                       ValueRange<std::chrono::milliseconds> range,
                       std::string meaning) {
  std::string range_text = fmt::format("{} to {}", FormatDuration(range.min),
                                       FormatDuration(range.max));
  Field<T> field;
  field.description = {std::move(name), "duration",        "ms, s, m or h", "",
                       range_text,      std::move(meaning)};
  field.required = presence == Presence::kRequired;
  field.read = [member, range, range_text](const JsonNode& node,
                                           const std::string& path,
                                           FieldReader& reader, T* out) {
    const std::string* text = node.AsString();
    if (text == nullptr) {
      reader.ReportTypeMismatch(node, path,
                                "a duration with a unit, as in \"250ms\"");
      return;
    }
    std::optional<std::chrono::milliseconds> duration = ParseDuration(*text);
    if (!duration) {
      reader.Report(node, path,
                    "not a duration: write a whole number with the unit ms, "
                    "s, m or h, as in \"250ms\"");
    } else if (*duration < range.min || *duration > range.max) {
      reader.Report(node, path, "out of range " + range_text);
    } else {
      out->*member = *duration;
    }
  };
  field.format = [member](const T& value) {
    return field_internal::Quote(FormatDuration(value.*member));
  };
  return field;
}

template <class T>
Field<T> BooleanField(std::string name,
                      bool T::*member,
                      Presence presence,
                      std::string meaning) {
  Field<T> field;
  field.description = {std::move(name), "boolean",         "", "",
                       "true or false", std::move(meaning)};
  field.required = presence == Presence::kRequired;
  field.read = [member](const JsonNode& node, const std::string& path,
                        FieldReader& reader, T* out) {
    if (const bool* value = std::get_if<bool>(&node.scalar)) {
      out->*member = *value;
    } else {
      reader.ReportTypeMismatch(node, path, "true or false");
    }
  };
  field.format = [member](const T& value) {
    return std::string(value.*member ? "true" : "false");
  };
  return field;
}

// Validates a text value. `description` completes "must be ..." in messages and
// is printed in the documentation.
struct TextRule {
  std::string_view description;
  bool (*accepts)(std::string_view text);
};

namespace field_internal {

inline const std::string& ToText(const std::string& text) {
  return text;
}
template <class Tag>
const std::string& ToText(const Id<Tag>& id) {
  return id.value();
}

// Returns nullptr, and reports a finding, if the value is not accepted.
inline const std::string* ReadText(const JsonNode& node,
                                   const std::string& path,
                                   const TextRule& rule,
                                   FieldReader& reader) {
  const std::string* text = node.AsString();
  if (text == nullptr) {
    reader.ReportTypeMismatch(node, path, "a string");
  } else if (!rule.accepts(*text)) {
    reader.Report(node, path, fmt::format("must be {}", rule.description));
    text = nullptr;
  }
  return text;
}

}  // namespace field_internal

// V is std::string or an Id.
template <class T, class V>
Field<T> TextField(std::string name,
                   V T::*member,
                   Presence presence,
                   TextRule rule,
                   std::string meaning) {
  Field<T> field;
  field.description = {
      std::move(name),   "string", "", "", std::string(rule.description),
      std::move(meaning)};
  field.required = presence == Presence::kRequired;
  field.read = [member, rule](const JsonNode& node, const std::string& path,
                              FieldReader& reader, T* out) {
    if (const auto* text = field_internal::ReadText(node, path, rule, reader)) {
      out->*member = V(*text);
    }
  };
  field.format = [member](const T& value) {
    return field_internal::Quote(field_internal::ToText(value.*member));
  };
  return field;
}

template <class T, class V>
Field<T> TextListField(std::string name,
                       std::vector<V> T::*member,
                       Presence presence,
                       TextRule rule,
                       std::string meaning) {
  Field<T> field;
  field.description = {std::move(name),
                       "array of strings",
                       "",
                       "",
                       fmt::format("each {}", rule.description),
                       std::move(meaning)};
  field.required = presence == Presence::kRequired;
  field.read = [member, rule](const JsonNode& node, const std::string& path,
                              FieldReader& reader, T* out) {
    if (node.kind != JsonNode::Kind::kArray) {
      reader.ReportTypeMismatch(node, path, "an array of strings");
      return;
    }
    for (std::size_t i = 0; i < node.children.size(); ++i) {
      const auto* text = field_internal::ReadText(
          node.children[i], JoinPointer(path, i), rule, reader);
      (out->*member).push_back(text == nullptr ? V() : V(*text));
    }
  };
  field.format = [](const T&) { return std::string("[]"); };
  return field;
}

template <class T>
Field<T> IntegerListField(std::string name,
                          std::vector<int> T::*member,
                          Presence presence,
                          ValueRange<int> range,
                          std::string meaning) {
  Field<T> field;
  field.description = {std::move(name),
                       "array of integers",
                       "",
                       "",
                       fmt::format("each {} to {}", range.min, range.max),
                       std::move(meaning)};
  field.required = presence == Presence::kRequired;
  field.read = [member, range](const JsonNode& node, const std::string& path,
                               FieldReader& reader, T* out) {
    if (node.kind != JsonNode::Kind::kArray) {
      reader.ReportTypeMismatch(node, path, "an array of integers");
      return;
    }
    for (std::size_t i = 0; i < node.children.size(); ++i) {
      // Invalid elements are appended too, so that indices match the text.
      int value = range.min - 1;
      if (auto message =
              field_internal::ReadInteger(node.children[i], range, &value)) {
        reader.Report(node.children[i], JoinPointer(path, i), *message);
      }
      (out->*member).push_back(value);
    }
  };
  field.format = [](const T&) { return std::string("[]"); };
  return field;
}

// Maps the name of an enumerator in the text to its value.
template <class E>
struct EnumValue {
  std::string_view name;
  E value;
};

template <class T, class E>
Field<T> EnumField(std::string name,
                   E T::*member,
                   Presence presence,
                   std::vector<EnumValue<E>> values,
                   std::string meaning) {
  std::string names;
  for (const EnumValue<E>& value : values) {
    names += fmt::format("{}\"{}\"", names.empty() ? "" : ", ", value.name);
  }
  Field<T> field;
  field.description = {std::move(name),   "string",          "", "",
                       "one of " + names, std::move(meaning)};
  field.required = presence == Presence::kRequired;
  field.read = [member, values, names](const JsonNode& node,
                                       const std::string& path,
                                       FieldReader& reader, T* out) {
    const std::string* text = node.AsString();
    for (const EnumValue<E>& value : values) {
      if (text != nullptr && *text == value.name) {
        out->*member = value.value;
        return;
      }
    }
    reader.Report(node, path, "must be one of " + names);
  };
  field.format = [member, values](const T& owner) {
    for (const EnumValue<E>& value : values) {
      if (value.value == owner.*member) {
        return field_internal::Quote(value.name);
      }
    }
    return std::string();
  };
  return field;
}

// `table` must have static storage duration.
template <class T, class U>
Field<T> ObjectField(std::string name,
                     U T::*member,
                     Presence presence,
                     const FieldTable<U>& table,
                     std::string meaning) {
  Field<T> field;
  field.description = {std::move(name),   "object", "", "", "",
                       std::move(meaning)};
  field.required = presence == Presence::kRequired;
  field.read = [member, &table](const JsonNode& node, const std::string& path,
                                FieldReader& reader, T* out) {
    ReadObject(node, path, table, reader, &(out->*member));
  };
  field.format = [](const T&) { return std::string("{}"); };
  field.describe_nested = [&table] { return DescribeFields(table); };
  return field;
}

// `table` must have static storage duration.
template <class T, class U>
Field<T> ObjectListField(std::string name,
                         std::vector<U> T::*member,
                         Presence presence,
                         const FieldTable<U>& table,
                         std::string meaning) {
  Field<T> field;
  field.description = {std::move(name),   "array of objects", "", "", "",
                       std::move(meaning)};
  field.required = presence == Presence::kRequired;
  field.read = [member, &table](const JsonNode& node, const std::string& path,
                                FieldReader& reader, T* out) {
    ReadObjectList(node, path, table, reader, &(out->*member));
  };
  field.format = [](const T&) { return std::string("[]"); };
  field.describe_nested = [&table] { return DescribeFields(table); };
  return field;
}

}  // namespace filbertshift

#endif  // SRC_CONFIG_FIELD_TYPES_H_
