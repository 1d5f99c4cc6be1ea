// The chat completions convention: requests of callers, streamed chunks of
// model engines, and answers to callers.

#ifndef SRC_CORE_CHAT_H_
#define SRC_CORE_CHAT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace filbertshift {

// One server-sent event of a chat stream.
struct ChatEvent {
  enum class Kind { kChunk, kDone, kComment, kMalformed };
  Kind kind = Kind::kMalformed;
  // For kChunk.
  nlohmann::json chunk;
};

// Parses whole events, as AttemptData delivers them.
std::vector<ChatEvent> ParseChatEvents(std::string_view bytes);

// The answer to one request, collected over all of its attempts.
class ChatAnswer {
 public:
  // Called when an attempt starts; what came before is kept as the prefix that
  // the new attempt continues.
  void BeginAttempt();
  // Adds one chunk. Returns true if it carries content for the caller.
  bool Add(const nlohmann::json& chunk);
  void MarkDone() { done_ = true; }
  // The caller's limit of tokens is reached although no end mark came.
  void MarkLengthReached();

  const std::string& text() const { return text_; }
  // The answer ended by the engine's own end mark.
  bool done() const { return done_ && !finish_reason_.empty(); }
  // False once the answer has parts that cannot be given to another engine as a
  // prefix, such as tool calls.
  bool resumable() const { return resumable_; }
  const nlohmann::json& tool_calls() const { return tool_calls_; }
  const std::string& finish_reason() const { return finish_reason_; }
  int prompt_tokens() const { return prompt_tokens_; }
  int answer_tokens() const;

 private:
  void MergeToolCall(const nlohmann::json& piece);

  std::string text_;
  // Tool calls with their argument pieces joined.
  nlohmann::json tool_calls_ = nlohmann::json::array();
  std::string finish_reason_;
  bool done_ = false;
  bool resumable_ = true;
  int prompt_tokens_ = 0;
  // Tokens of earlier attempts, by content chunks.
  int earlier_tokens_ = 0;
  // Content chunks of the present attempt.
  int chunk_tokens_ = 0;
  // Completion tokens that the engine reported for the present attempt.
  int reported_tokens_ = 0;
};

// The body for an engine: always streamed with usage, continuing after the text
// delivered so far.
std::string EngineBody(const nlohmann::json& caller_body,
                       const std::string& model,
                       const ChatAnswer& answer);

// The caller's limit of generated tokens; 0 if there is none.
int TokenLimit(const nlohmann::json& caller_body);

// The event that ends the only choice.
std::string FinishEvent(const ChatAnswer& answer,
                        const std::string& completion_id,
                        const std::string& model);

// One event for the caller, with the ids of the request in place of those of
// the engine's attempt.
std::string CallerChunk(nlohmann::json chunk,
                        const std::string& completion_id,
                        const std::string& model);

// The whole answer for a caller that does not stream.
std::string CallerCompletion(const ChatAnswer& answer,
                             const std::string& completion_id,
                             const std::string& model,
                             std::int64_t created_s);

// The whole answer as the events that a streaming caller gets.
std::string CallerEvents(const ChatAnswer& answer,
                         const std::string& completion_id,
                         const std::string& model,
                         std::int64_t created_s);

// The usage event that streaming callers can ask for.
std::string UsageEvent(const ChatAnswer& answer,
                       const std::string& completion_id,
                       const std::string& model);

inline constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

}  // namespace filbertshift

#endif  // SRC_CORE_CHAT_H_
