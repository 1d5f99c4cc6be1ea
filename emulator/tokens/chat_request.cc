#include "emulator/tokens/chat_request.h"

namespace filbertshift::emulator {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;

std::string ContentText(const Json& content) {
  if (content.is_string()) {
    return content;
  }
  std::string text;
  for (const Json& part : content) {
    text += part.at("text").get<std::string>();
  }
  return text;
}

std::string MessageText(const std::string& role, const std::string& content) {
  return role + ": " + content + "\n";
}

// Returns nullopt if the limit is absent or null.
std::optional<std::size_t> ReadTokenLimit(const Json& json, const char* name) {
  const Json limit = json.value(name, Json());
  if (limit.is_null()) {
    return std::nullopt;
  }
  const auto tokens = limit.get<long long>();
  if (tokens < 1) {
    throw ChatRequestError(std::string(name) + " must be at least 1");
  }
  return static_cast<std::size_t>(tokens);
}

ChatRequest ReadChatRequest(const Json& json) {
  ChatRequest request;
  request.model = json.at("model");
  request.stream = json.value("stream", false);
  request.max_tokens = ReadTokenLimit(json, "max_tokens");
  if (!request.max_tokens) {
    request.max_tokens = ReadTokenLimit(json, "max_completion_tokens");
  }
  const Json& messages = json.at("messages");
  if (!messages.is_array() || messages.empty()) {
    throw ChatRequestError("messages must be an array with an element");
  }
  std::size_t count = messages.size();
  if (json.value("continue_final_message", false)) {
    --count;
    if (messages[count].at("role") != "assistant") {
      throw ChatRequestError(
          "continue_final_message needs an assistant message at the end");
    }
    request.prefix = ContentText(messages[count].at("content"));
  }
  for (std::size_t i = 0; i < count; ++i) {
    request.prompt += MessageText(messages[i].at("role"),
                                  ContentText(messages[i].at("content")));
  }
  return request;
}

}  // namespace

ChatRequest ParseChatRequest(const std::string& body) {
  try {
    return ReadChatRequest(Json::parse(body));
  } catch (const Json::exception& error) {
    throw ChatRequestError(error.what());
  }
}

std::string UserPrompt(const std::string& content) {
  return MessageText("user", content);
}

std::size_t CountPromptTokens(const std::string& text) {
  return (text.size() + kBytesPerToken - 1) / kBytesPerToken;
}

}  // namespace filbertshift::emulator
