// Parser for the fields of a chat completions request that the emulated engine
// uses.

#ifndef EMULATOR_TOKENS_CHAT_REQUEST_H_
#define EMULATOR_TOKENS_CHAT_REQUEST_H_

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>

#include <nlohmann/json.hpp>

namespace filbertshift::emulator {

// Thrown for a body that is not a valid chat completions request.
class ChatRequestError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct ChatRequest {
  std::string model;
  bool stream = false;
  // max_tokens or max_completion_tokens: limit on generated tokens, excluding
  // those in `prefix`.
  std::optional<std::size_t> max_tokens;
  // All messages as "role: content\n", excluding the prefix.
  std::string prompt;
  // Start of the answer to continue: the last message of a request with
  // continue_final_message.
  std::string prefix;
};

// Throws ChatRequestError.
ChatRequest ParseChatRequest(const std::string& body);

// Returns the prompt text of a single user message.
std::string UserPrompt(const std::string& content);

// Counts one token per four bytes, rounded up.
std::size_t CountPromptTokens(const std::string& text);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_TOKENS_CHAT_REQUEST_H_
