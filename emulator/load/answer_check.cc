#include "emulator/load/answer_check.h"

#include <fmt/format.h>

#include <optional>
#include <utility>

#include "emulator/tokens/tokens.h"

namespace filbertshift::emulator {

namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDoneMarker = "[DONE]";
constexpr std::string_view kEventDelimiter = "\n\n";

}  // namespace

AnswerCheck::AnswerCheck(const PlannedRequest& request) : request_(request) {}

void AnswerCheck::OnBytes(std::string_view bytes, SteadyTime now) {
  buffer_.append(bytes);
  if (request_.stream) {
    ParseEvents(now);
  }
}

AnswerResult AnswerCheck::Finish(int http_status,
                                 const std::string& version_label) {
  if (http_status != 200) {
    ParseError(Json::parse(buffer_, nullptr, false));
    result_.code = fmt::format("http_{}{}{}", http_status,
                               error_code_.empty() ? "" : ":", error_code_);
  } else if (request_.prompt.empty()) {
    result_.code = "ok";
  } else {
    if (!request_.stream) {
      ParseResponseBody();
    }
    result_.code = ValidateAnswer(version_label);
  }
  return std::move(result_);
}

void AnswerCheck::ParseEvents(SteadyTime now) {
  std::size_t begin = 0;
  for (;;) {
    const std::size_t end = buffer_.find(kEventDelimiter, begin);
    if (end == std::string::npos) {
      break;
    }
    const std::string event = buffer_.substr(begin, end - begin);
    begin = end + kEventDelimiter.size();
    if (event.compare(0, kDataPrefix.size(), kDataPrefix) == 0) {
      ParseEvent(event.substr(kDataPrefix.size()), now);
    }
  }
  buffer_.erase(0, begin);
}

void AnswerCheck::ParseEvent(const std::string& data, SteadyTime now) {
  if (data == kDoneMarker) {
    done_ = true;
    return;
  }
  const Json json = Json::parse(data, nullptr, false);
  if (!json.is_object() || done_) {
    malformed_ = true;
    return;
  }
  if (json.contains("error")) {
    ParseError(json);
    return;
  }
  try {
    const Json& choice = json.at("choices").at(0);
    has_finish_reason_ =
        has_finish_reason_ || choice.at("finish_reason").is_string();
    const std::string content =
        choice.at("delta").value("content", std::string());
    if (!content.empty()) {
      result_.text += content;
      result_.token_times.push_back(now);
    }
  } catch (const Json::exception&) {
    malformed_ = true;
  }
}

void AnswerCheck::ParseResponseBody() {
  try {
    const Json json = Json::parse(buffer_);
    const Json& choice = json.at("choices").at(0);
    result_.text = choice.at("message").at("content");
    has_finish_reason_ = choice.at("finish_reason").is_string();
    done_ = true;
  } catch (const Json::exception&) {
    malformed_ = true;
  }
}

void AnswerCheck::ParseError(const Json& body) {
  error_code_ = "no_error_body";
  if (!body.is_object() || !body.contains("error")) {
    return;
  }
  const Json& error = body["error"];
  if (error.is_object()) {
    error_code_ = error.value("code", error_code_);
    result_.run = error.value("run", std::string());
  }
}

std::string AnswerCheck::ValidateAnswer(const std::string& version_label) {
  if (!error_code_.empty()) {
    return "stream_error:" + error_code_;
  }
  if (malformed_) {
    return "malformed";
  }
  if (!done_ || !has_finish_reason_) {
    return "truncated";
  }
  if (version_label.empty()) {
    return "no_version_header";
  }
  const std::optional<Answer::Match> match =
      Answer(version_label, request_.prompt).MatchPrefix(result_.text);
  if (!match || match->partial_bytes > 0) {
    return "wrong_answer";
  }
  if (match->tokens != request_.answer_tokens) {
    return match->tokens < request_.answer_tokens ? "too_short" : "too_long";
  }
  result_.bad_tokens = match->bad_tokens;
  return "ok";
}

}  // namespace filbertshift::emulator
