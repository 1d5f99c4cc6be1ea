// The chat completions protocol: converts caller requests to engine requests
// and streamed engine chunks to responses for callers.

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
  // Valid for kChunk only.
  nlohmann::json chunk;
};

// Parses complete events, as delivered by AttemptData.
std::vector<ChatEvent> ParseChatEvents(std::string_view bytes);

// Accumulates the answer to one request over all of its attempts.
class ChatAnswer {
 public:
  // Must be called when an attempt starts. Text received so far is kept as the
  // prefix that the new attempt continues.
  void BeginAttempt();
  // Adds one chunk. Returns true if it carries content for the caller.
  bool Add(const nlohmann::json& chunk);
  void MarkDone() { done_ = true; }
  // Ends the answer with finish reason "length": the caller's token limit is
  // reached, but the engine did not end the stream.
  void MarkLengthReached();

  const std::string& text() const { return text_; }
  // True once the answer has a finish reason and its end was marked by [DONE]
  // or MarkLengthReached().
  bool done() const { return done_ && !finish_reason_.empty(); }
  // False once the answer contains parts that cannot be passed to another
  // engine as a prefix, such as tool calls.
  bool resumable() const { return resumable_; }
  const nlohmann::json& tool_calls() const { return tool_calls_; }
  const std::string& finish_reason() const { return finish_reason_; }
  int prompt_tokens() const { return prompt_tokens_; }
  int answer_tokens() const;

 private:
  void MergeToolCall(const nlohmann::json& piece);

  std::string text_;
  // Tool calls with their argument fragments concatenated.
  nlohmann::json tool_calls_ = nlohmann::json::array();
  std::string finish_reason_;
  bool done_ = false;
  bool resumable_ = true;
  int prompt_tokens_ = 0;
  // Tokens of previous attempts, counted as one per content chunk.
  int previous_attempt_tokens_ = 0;
  // Content chunks of the current attempt.
  int chunk_tokens_ = 0;
  // Completion tokens that the engine reported for the current attempt.
  int reported_tokens_ = 0;
};

// Builds the request body for an engine. It always requests streaming and
// usage, and lets the engine continue after the text received so far.
std::string BuildEngineRequestBody(const nlohmann::json& caller_body,
                                   const std::string& model,
                                   const ChatAnswer& answer);

// The caller's limit on generated tokens; 0 if there is none.
int TokenLimit(const nlohmann::json& caller_body);

// The event with the finish reason of the only choice.
std::string BuildFinishEvent(const ChatAnswer& answer,
                             const std::string& completion_id,
                             const std::string& model);

// Converts an engine chunk to an event for the caller, with the completion id
// and model of the request instead of those of the engine's attempt.
std::string BuildCallerChunkEvent(nlohmann::json chunk,
                                  const std::string& completion_id,
                                  const std::string& model);

// The complete response body for a caller that did not request streaming.
std::string BuildCompletionBody(const ChatAnswer& answer,
                                const std::string& completion_id,
                                const std::string& model,
                                std::int64_t created_s);

// The complete answer as events for a caller that requested streaming.
std::string BuildCompletionEvents(const ChatAnswer& answer,
                                  const std::string& completion_id,
                                  const std::string& model,
                                  std::int64_t created_s);

// The usage event that streaming callers request with `include_usage`.
std::string BuildUsageEvent(const ChatAnswer& answer,
                            const std::string& completion_id,
                            const std::string& model);

inline constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

}  // namespace filbertshift

#endif  // SRC_CORE_CHAT_H_
