#include "src/core/chat.h"

#include <algorithm>

#include "src/common/document_reader.h"

namespace filbertshift {

namespace {

using nlohmann::json;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

ChatEvent ParseChatEvent(std::string_view event) {
  std::string data;
  bool has_data = false;
  std::size_t start = 0;
  while (start < event.size()) {
    std::size_t end = std::min(event.find('\n', start), event.size());
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.substr(0, 5) != "data:") {
      continue;
    }
    line.remove_prefix(5);
    if (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    if (has_data) {
      data += '\n';
    }
    data += line;
    has_data = true;
  }
  ChatEvent result;
  if (!has_data) {
    result.kind = ChatEvent::Kind::kComment;
  } else if (data == "[DONE]") {
    result.kind = ChatEvent::Kind::kDone;
  } else {
    bool valid = true;
    try {
      result.chunk = ParseJson(data, RepeatedKeys::kUseLast);
    } catch (const DocumentError&) {
      valid = false;
    }
    valid =
        valid && result.chunk.is_object() && !result.chunk.contains("error");
    result.kind = valid ? ChatEvent::Kind::kChunk : ChatEvent::Kind::kMalformed;
  }
  return result;
}

// Returns the only choice of a chunk, or nullptr if it has none.
const json* FirstChoice(const json& chunk) {
  auto choices = chunk.find("choices");
  if (choices == chunk.end() || !choices->is_array() || choices->empty()) {
    return nullptr;
  }
  const json& choice = choices->front();
  return choice.is_object() ? &choice : nullptr;
}

int GetIntegerOrZero(const json& object, const char* name) {
  auto field = object.find(name);
  if (field == object.end() || !field->is_number_integer()) {
    return 0;
  }
  // A larger number is as good as no limit.
  constexpr int kMaxTokens = 1000000000;
  if (field->is_number_unsigned()) {
    return static_cast<int>(
        std::min<std::uint64_t>(field->get<std::uint64_t>(), kMaxTokens));
  }
  return static_cast<int>(std::clamp<std::int64_t>(field->get<std::int64_t>(),
                                                   -kMaxTokens, kMaxTokens));
}

json UsageJson(const ChatAnswer& answer) {
  int prompt = answer.prompt_tokens();
  int completion = answer.answer_tokens();
  return {{"prompt_tokens", prompt},
          {"completion_tokens", completion},
          {"total_tokens", prompt + completion}};
}

}  // namespace

std::vector<ChatEvent> ParseChatEvents(std::string_view bytes) {
  std::vector<ChatEvent> events;
  std::size_t start = 0;
  while (start < bytes.size()) {
    std::size_t lf = bytes.find("\n\n", start);
    std::size_t crlf = bytes.find("\r\n\r\n", start);
    std::size_t end = std::min(lf, crlf);
    std::size_t separator = crlf < lf ? 4 : 2;
    if (end == std::string_view::npos) {
      end = bytes.size();
    }
    std::string_view event = bytes.substr(start, end - start);
    if (!event.empty()) {
      events.push_back(ParseChatEvent(event));
    }
    start = end + separator;
  }
  return events;
}

void ChatAnswer::BeginAttempt() {
  previous_attempt_tokens_ += chunk_tokens_;
  chunk_tokens_ = 0;
  reported_tokens_ = 0;
  done_ = false;
  finish_reason_.clear();
}

bool ChatAnswer::Add(const json& chunk) {
  auto usage = chunk.find("usage");
  if (usage != chunk.end() && usage->is_object()) {
    // An attempt that continues an answer counts the earlier text as prompt, so
    // only the first usage report gives the size of the caller's prompt.
    if (prompt_tokens_ == 0) {
      prompt_tokens_ = std::max(0, GetIntegerOrZero(*usage, "prompt_tokens") -
                                       previous_attempt_tokens_);
    }
    reported_tokens_ = GetIntegerOrZero(*usage, "completion_tokens");
  }
  const json* choice = FirstChoice(chunk);
  if (choice == nullptr) {
    return false;
  }
  auto reason = choice->find("finish_reason");
  if (reason != choice->end() && reason->is_string()) {
    finish_reason_ = reason->get<std::string>();
  }
  auto delta = choice->find("delta");
  if (delta == choice->end() || !delta->is_object()) {
    return false;
  }
  if (delta->contains("tool_calls")) {
    resumable_ = false;
    for (const json& piece : (*delta)["tool_calls"]) {
      MergeToolCall(piece);
    }
  }
  auto content = delta->find("content");
  if (content == delta->end() || !content->is_string()) {
    return delta->contains("tool_calls");
  }
  const std::string& piece = content->get_ref<const std::string&>();
  if (piece.empty()) {
    return false;
  }
  text_ += piece;
  ++chunk_tokens_;
  return true;
}

// Engines send the name of a tool call once and its arguments in fragments that
// carry the index of the call.
void ChatAnswer::MergeToolCall(const json& piece) {
  constexpr std::size_t kMaxToolCalls = 128;
  std::size_t index = piece.is_object() ? GetIntegerOrZero(piece, "index") : 0;
  if (!piece.is_object() || index >= kMaxToolCalls) {
    return;
  }
  while (tool_calls_.size() <= index) {
    tool_calls_.push_back({{"type", "function"},
                           {"function", {{"name", ""}, {"arguments", ""}}}});
  }
  json& call = tool_calls_[index];
  if (piece.contains("id")) {
    call["id"] = piece["id"];
  }
  json function = piece.value("function", json::object());
  for (const char* field : {"name", "arguments"}) {
    if (function.contains(field) && function[field].is_string()) {
      call["function"][field] = call["function"][field].get<std::string>() +
                                function[field].get<std::string>();
    }
  }
}

void ChatAnswer::MarkLengthReached() {
  done_ = true;
  finish_reason_ = "length";
}

int ChatAnswer::answer_tokens() const {
  return previous_attempt_tokens_ + std::max(chunk_tokens_, reported_tokens_);
}

int TokenLimit(const json& caller_body) {
  for (const char* limit : {"max_completion_tokens", "max_tokens"}) {
    int value = GetIntegerOrZero(caller_body, limit);
    if (value > 0) {
      return value;
    }
  }
  return 0;
}

std::string BuildFinishEvent(const ChatAnswer& answer,
                             const std::string& completion_id,
                             const std::string& model) {
  json event = {
      {"id", completion_id},
      {"object", "chat.completion.chunk"},
      {"model", model},
      {"choices", json::array({{{"index", 0},
                                {"delta", json::object()},
                                {"finish_reason", answer.finish_reason()}}})}};
  return "data: " + Dump(event) + "\n\n";
}

std::string BuildEngineRequestBody(const json& caller_body,
                                   const std::string& model,
                                   const ChatAnswer& answer) {
  json body = caller_body;
  body["model"] = model;
  body["stream"] = true;
  body["stream_options"] = {{"include_usage", true}};
  if (answer.text().empty()) {
    return Dump(body);
  }
  body["messages"].push_back(
      {{"role", "assistant"}, {"content", answer.text()}});
  body["continue_final_message"] = true;
  body["add_generation_prompt"] = false;
  for (const char* limit : {"max_tokens", "max_completion_tokens"}) {
    if (body.contains(limit) && body[limit].is_number_integer()) {
      body[limit] =
          std::max(1, GetIntegerOrZero(body, limit) - answer.answer_tokens());
    }
  }
  return Dump(body);
}

std::string BuildCallerChunkEvent(json chunk,
                                  const std::string& completion_id,
                                  const std::string& model) {
  chunk["id"] = completion_id;
  chunk["model"] = model;
  return "data: " + Dump(chunk) + "\n\n";
}

std::string BuildCompletionBody(const ChatAnswer& answer,
                                const std::string& completion_id,
                                const std::string& model,
                                std::int64_t created_s) {
  json message = {{"role", "assistant"}, {"content", answer.text()}};
  if (!answer.tool_calls().empty()) {
    message["tool_calls"] = answer.tool_calls();
  }
  json body = {
      {"id", completion_id},
      {"object", "chat.completion"},
      {"created", created_s},
      {"model", model},
      {"choices", json::array({{{"index", 0},
                                {"message", std::move(message)},
                                {"finish_reason", answer.finish_reason()}}})},
      {"usage", UsageJson(answer)}};
  return Dump(body);
}

std::string BuildCompletionEvents(const ChatAnswer& answer,
                                  const std::string& completion_id,
                                  const std::string& model,
                                  std::int64_t created_s) {
  json delta = {{"role", "assistant"}, {"content", answer.text()}};
  json chunk = {
      {"id", completion_id},
      {"object", "chat.completion.chunk"},
      {"created", created_s},
      {"model", model},
      {"choices", json::array({{{"index", 0},
                                {"delta", std::move(delta)},
                                {"finish_reason", answer.finish_reason()}}})},
      {"usage", UsageJson(answer)}};
  return "data: " + Dump(chunk) + "\n\n" + std::string(kDoneEvent);
}

std::string BuildUsageEvent(const ChatAnswer& answer,
                            const std::string& completion_id,
                            const std::string& model) {
  json event = {{"id", completion_id},
                {"object", "chat.completion.chunk"},
                {"model", model},
                {"choices", json::array()},
                {"usage", UsageJson(answer)}};
  return "data: " + Dump(event) + "\n\n";
}

}  // namespace filbertshift
