#include "src/common/document_reader.h"

#include <fmt/format.h>

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace filbertshift {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Builds the tree of a document and stops at the first error.
class DocumentBuilder : public json::json_sax_t {
 public:
  explicit DocumentBuilder(RepeatedKeys repeated) : repeated_(repeated) {}

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(number_integer_t value) override { return Add(value); }
  bool number_unsigned(number_unsigned_t value) override { return Add(value); }
  bool number_float(number_float_t value, const string_t& /*text*/) override {
    return Add(value);
  }
  bool string(string_t& value) override { return Add(std::move(value)); }
  bool binary(binary_t& value) override {
    return Add(json::binary(std::move(value)));
  }
  bool start_object(std::size_t /*size*/) override {
    return Open(json::object());
  }
  bool key(string_t& value) override {
    auto [position, inserted] =
        open_.back()->get_ref<json::object_t&>().try_emplace(value);
    if (!inserted && repeated_ == RepeatedKeys::kReject) {
      error_ = "a key twice in one object";
      return false;
    }
    member_ = &position->second;
    return true;
  }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t /*size*/) override {
    return Open(json::array());
  }
  bool end_array() override { return Close(); }
  // The text of the error is not used: it repeats parts of the document, which
  // may be long or not UTF-8.
  bool parse_error(std::size_t position,
                   const std::string& /*last_token*/,
                   const json::exception& /*error*/) override {
    error_ = fmt::format("cannot be read at byte {}", position);
    return false;
  }

  json& root() { return root_; }
  const std::string& error() const { return error_; }

 private:
  json* Place(json value) {
    if (open_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    json& parent = *open_.back();
    if (parent.is_object()) {
      *member_ = std::move(value);
      return member_;
    }
    parent.push_back(std::move(value));
    return &parent.back();
  }
  bool Add(json value) {
    Place(std::move(value));
    return true;
  }
  bool Open(json value) {
    if (open_.size() >= kMaxDocumentDepth) {
      error_ = fmt::format("nested deeper than {}", kMaxDocumentDepth);
      return false;
    }
    open_.push_back(Place(std::move(value)));
    return true;
  }
  bool Close() {
    open_.pop_back();
    return true;
  }

  const RepeatedKeys repeated_;
  json root_;
  // Arrays and objects that are not complete, outermost first. Elements are
  // only added to the last one, so the pointers stay valid.
  std::vector<json*> open_;
  // Where the value of the latest key belongs.
  json* member_ = nullptr;
  std::string error_;
};

json Parse(std::string_view bytes,
           json::input_format_t format,
           RepeatedKeys repeated) {
  DocumentBuilder builder(repeated);
  if (!json::sax_parse(bytes, &builder, format)) {
    throw DocumentError(builder.error());
  }
  return std::move(builder.root());
}

[[noreturn]] void ThrowOutOfRange(double min, double max) {
  throw DocumentError(fmt::format("number out of range {} to {}", min, max));
}

}  // namespace

json ParseJson(std::string_view text, RepeatedKeys repeated) {
  return Parse(text, json::input_format_t::json, repeated);
}

json ParseMessagePack(std::string_view bytes) {
  return Parse(bytes, json::input_format_t::msgpack, RepeatedKeys::kReject);
}

std::int64_t ToInteger(const json& value, std::int64_t min, std::int64_t max) {
  std::int64_t number = 0;
  if (value.is_number_unsigned()) {
    auto count = value.get<std::uint64_t>();
    if (count >
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
      ThrowOutOfRange(static_cast<double>(min), static_cast<double>(max));
    }
    number = static_cast<std::int64_t>(count);
  } else if (value.is_number_integer()) {
    number = value.get<std::int64_t>();
  } else {
    double real = ToNumber(value, -static_cast<double>(kMaxCount),
                           static_cast<double>(kMaxCount));
    if (real != std::trunc(real)) {
      throw DocumentError("number is not whole");
    }
    number = static_cast<std::int64_t>(real);
  }
  if (number < min || number > max) {
    ThrowOutOfRange(static_cast<double>(min), static_cast<double>(max));
  }
  return number;
}

std::uint64_t ToUnsigned(const json& value) {
  if (value.is_number_unsigned()) {
    return value.get<std::uint64_t>();
  }
  return static_cast<std::uint64_t>(
      ToInteger(value, 0, std::numeric_limits<std::int64_t>::max()));
}

double ToNumber(const json& value, double min, double max) {
  if (!value.is_number()) {
    throw DocumentError(
        fmt::format("expected a number, not {}", value.type_name()));
  }
  auto number = value.get<double>();
  // Also false for NaN.
  if (!(number >= min && number <= max)) {
    ThrowOutOfRange(min, max);
  }
  return number;
}

milliseconds ToDuration(const json& value, milliseconds unit) {
  auto units = static_cast<double>(unit.count());
  double number =
      ToNumber(value, 0, static_cast<double>(kMaxDuration.count()) / units);
  return milliseconds(static_cast<std::int64_t>(number * units));
}

std::int64_t IntegerOr(const json& object,
                       const char* name,
                       std::int64_t fallback,
                       std::int64_t min,
                       std::int64_t max) {
  return object.contains(name) ? ToInteger(object.at(name), min, max)
                               : fallback;
}

double NumberOr(const json& object,
                const char* name,
                double fallback,
                double min,
                double max) {
  return object.contains(name) ? ToNumber(object.at(name), min, max) : fallback;
}

milliseconds DurationOr(const json& object,
                        const char* name,
                        milliseconds fallback,
                        milliseconds unit) {
  return object.contains(name) ? ToDuration(object.at(name), unit) : fallback;
}

}  // namespace filbertshift
