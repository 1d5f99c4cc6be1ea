// The wire format of chat completions: event stream chunks and whole answers.

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
  // `id` and `model` must need no escapes in JSON.
  CompletionFormat(std::string id, std::string model, std::int64_t created_s);

  // The chunk that announces the role.
  std::string RoleChunk() const;
  // `token` must need no escapes in JSON.
  std::string TokenChunk(const std::string& token) const;
  // The last chunk and the end mark.
  std::string FinalChunks(const std::string& finish_reason,
                          const CompletionUsage& usage) const;
  // An event that is neither valid JSON nor valid UTF-8.
  static std::string InvalidChunk();

  Json WholeAnswer(const std::string& text,
                   const std::string& finish_reason,
                   const CompletionUsage& usage) const;

 private:
  std::string Chunk(const std::string& delta,
                    const std::string& finish_reason,
                    const std::string& more) const;

  std::string id_;
  std::string model_;
  std::int64_t created_s_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_COMPLETION_FORMAT_H_
