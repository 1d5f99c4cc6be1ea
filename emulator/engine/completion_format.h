// Wire format of chat completions: chunks of an event stream and bodies of
// non-streaming responses.

#ifndef EMULATOR_ENGINE_COMPLETION_FORMAT_H_
#define EMULATOR_ENGINE_COMPLETION_FORMAT_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "emulator/http/http_message.h"

namespace filbertshift::emulator {

struct CompletionUsage {
  std::size_t prompt_tokens = 0;
  std::size_t completion_tokens = 0;
};

class CompletionFormat {
 public:
  // `id` and `model` are inserted into JSON without escaping.
  CompletionFormat(std::string id, std::string model, std::int64_t created_s);

  // The first chunk, which carries the role of the message.
  std::string RoleChunk() const;
  // `token` is inserted into JSON without escaping.
  std::string TokenChunk(const std::string& token) const;
  // The chunk with finish reason and usage, followed by the [DONE] event.
  std::string FinalChunks(const std::string& finish_reason,
                          const CompletionUsage& usage) const;
  // An event that is neither valid JSON nor valid UTF-8.
  static std::string InvalidChunk();

  // Body of a non-streaming response.
  Json ResponseBody(const std::string& text,
                    const std::string& finish_reason,
                    const CompletionUsage& usage) const;

 private:
  std::string Chunk(const std::string& delta,
                    const std::string& finish_reason,
                    const std::string& extra_fields) const;

  std::string id_;
  std::string model_;
  std::int64_t created_s_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_COMPLETION_FORMAT_H_
