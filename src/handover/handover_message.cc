#include "src/handover/handover_message.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "src/common/document_reader.h"

namespace filbertshift {

namespace {

using nlohmann::json;

// A message is the length of its head in decimal digits, a line feed, the head
// in MessagePack, and the body.
constexpr std::size_t kMaxLengthDigits = 8;
constexpr std::size_t kMaxHeaders = 1000;
constexpr std::size_t kHeadFields = 9;
constexpr std::int64_t kMaxRuns = 1000;

constexpr std::string_view kNotRunPrefix = "not-run ";
constexpr std::string_view kUnknownRun = "unknown";
// Refusals that say nothing about what another instance would do.
constexpr std::array<std::string_view, 6> kTryAnotherCodes = {
    "stranded",         "shutting_down",       "older_configuration",
    "no_configuration", "configuration_stale", "handover_malformed"};

[[noreturn]] void ThrowInvalid(const std::string& what) {
  throw FindingsError({{"handover", "", 0, 0, what}});
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < '\x7f' && c != ':';
  });
}

bool IsLine(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    return c == '\r' || c == '\n' || c == '\0';
  });
}

// A request target or method is one word.
bool IsWord(std::string_view text) {
  return !text.empty() && IsLine(text) &&
         text.find(' ') == std::string_view::npos;
}

HandoverRequest DecodeHead(std::string_view bytes) {
  json head = ParseMessagePack(bytes);
  if (!head.is_array() || head.size() < kHeadFields) {
    ThrowInvalid("head is not a list of its fields");
  }
  HandoverRequest request;
  request.method = head.at(0).get<std::string>();
  request.target = head.at(1).get<std::string>();
  if (!head.at(2).is_array() || head.at(2).size() > kMaxHeaders) {
    ThrowInvalid("header fields are not a list, or too many");
  }
  for (const json& field : head.at(2)) {
    request.headers.emplace_back(field.at(0).get<std::string>(),
                                 field.at(1).get<std::string>());
    if (!IsToken(request.headers.back().first) ||
        !IsLine(request.headers.back().second)) {
      ThrowInvalid("header field with an invalid name or value");
    }
  }
  request.time_left = ToDuration(head.at(3));
  request.sends = static_cast<int>(ToInteger(head.at(4), 0, kMaxRuns));
  request.runs = static_cast<int>(ToInteger(head.at(5), 0, kMaxRuns));
  request.max_runs = static_cast<int>(ToInteger(head.at(6), 1, kMaxRuns));
  request.configuration = ToInteger(head.at(7), 0, kMaxCount);
  if (!head.at(8).is_null()) {
    request.last_event_id = head.at(8).get<std::string>();
    if (!IsLine(*request.last_event_id)) {
      ThrowInvalid("event id with a line break");
    }
  }
  if (!IsToken(request.method) || !IsWord(request.target)) {
    ThrowInvalid("invalid request line");
  }
  return request;
}

}  // namespace

std::string EncodeHandover(const HandoverRequest& request) {
  json headers = json::array();
  for (const auto& [name, value] : request.headers) {
    headers.push_back(json::array({name, value}));
  }
  json head = json::array(
      {request.method, request.target, std::move(headers),
       request.time_left.count(), request.sends, request.runs, request.max_runs,
       request.configuration,
       request.last_event_id.has_value() ? json(*request.last_event_id)
                                         : json()});
  std::vector<std::uint8_t> bytes = json::to_msgpack(head);
  std::string message = fmt::format("{}\n", bytes.size());
  message.reserve(message.size() + bytes.size() + request.body.size());
  message.append(bytes.begin(), bytes.end());
  message.append(request.body);
  return message;
}

HandoverRequest DecodeHandover(std::string_view message,
                               std::size_t max_head_bytes) {
  std::size_t line_end = message.substr(0, kMaxLengthDigits + 1).find('\n');
  std::size_t length = 0;
  auto result = std::from_chars(
      message.data(), message.data() + std::min(line_end, message.size()),
      length);
  if (line_end == std::string_view::npos || result.ec != std::errc() ||
      result.ptr != message.data() + line_end) {
    ThrowInvalid("no length of the head");
  }
  std::string_view rest = message.substr(line_end + 1);
  if (length > rest.size() || length > max_head_bytes + kMaxHandoverOverhead) {
    ThrowInvalid(fmt::format("head of {} bytes", length));
  }
  try {
    HandoverRequest request = DecodeHead(rest.substr(0, length));
    request.body = std::string(rest.substr(length));
    return request;
  } catch (const json::exception& error) {
    ThrowInvalid(error.what());
  } catch (const DocumentError& error) {
    ThrowInvalid(error.what());
  }
}

std::string EncodeHandoverRun(bool not_run, std::string_view code) {
  return not_run ? fmt::format("{}{}", kNotRunPrefix, code)
                 : std::string(kUnknownRun);
}

HandoverRun DecodeHandoverRun(std::string_view value) {
  if (value.substr(0, kNotRunPrefix.size()) != kNotRunPrefix) {
    return HandoverRun::kMayHaveRun;
  }
  std::string_view code = value.substr(kNotRunPrefix.size());
  bool another = std::find(kTryAnotherCodes.begin(), kTryAnotherCodes.end(),
                           code) != kTryAnotherCodes.end();
  return another ? HandoverRun::kTryAnother : HandoverRun::kNotRun;
}

}  // namespace filbertshift
