#include "emulator/engine/completion_format.h"

#include <fmt/format.h>

#include <utility>

namespace filbertshift::emulator {

namespace {

Json UsageJson(const CompletionUsage& usage) {
  return Json{{"prompt_tokens", usage.prompt_tokens},
              {"completion_tokens", usage.completion_tokens},
              {"total_tokens", usage.prompt_tokens + usage.completion_tokens}};
}

}  // namespace

CompletionFormat::CompletionFormat(std::string id,
                                   std::string model,
                                   std::int64_t created_s)
    : id_(std::move(id)), model_(std::move(model)), created_s_(created_s) {}

std::string CompletionFormat::RoleChunk() const {
  return Chunk(R"({"role":"assistant","content":""})", "null", "");
}

std::string CompletionFormat::TokenChunk(const std::string& token) const {
  return Chunk(fmt::format(R"({{"content":"{}"}})", token), "null", "");
}

std::string CompletionFormat::FinalChunks(const std::string& finish_reason,
                                          const CompletionUsage& usage) const {
  return Chunk("{}", "\"" + finish_reason + "\"",
               ",\"usage\":" + UsageJson(usage).dump()) +
         "data: [DONE]\n\n";
}

std::string CompletionFormat::InvalidChunk() {
  return "data: {\"choices\":[{\"delta\":\xff\xfe\xc0 }}]\n\n";
}

Json CompletionFormat::ResponseBody(const std::string& text,
                                    const std::string& finish_reason,
                                    const CompletionUsage& usage) const {
  const Json message{{"role", "assistant"}, {"content", text}};
  const Json choice{
      {"index", 0}, {"message", message}, {"finish_reason", finish_reason}};
  return Json{{"id", id_},
              {"object", "chat.completion"},
              {"created", created_s_},
              {"model", model_},
              {"choices", Json::array({choice})},
              {"usage", UsageJson(usage)}};
}

std::string CompletionFormat::Chunk(const std::string& delta,
                                    const std::string& finish_reason,
                                    const std::string& extra_fields) const {
  return fmt::format(
      "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\","
      "\"created\":{},\"model\":\"{}\",\"choices\":[{{\"index\":0,"
      "\"delta\":{},\"finish_reason\":{}}}]{}}}\n\n",
      id_, created_s_, model_, delta, finish_reason, extra_fields);
}

}  // namespace filbertshift::emulator
