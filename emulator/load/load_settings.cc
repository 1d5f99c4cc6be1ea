#include "emulator/load/load_settings.h"

#include <fmt/format.h>

namespace filbertshift::emulator {

namespace {

void ReadRange(ControlReader* reader, const char* key, TokenRange* range) {
  std::vector<std::size_t> bounds;
  if (!reader->Read(key, &bounds)) {
    return;
  }
  if (bounds.size() != 2 || bounds[0] > bounds[1] || bounds[0] == 0) {
    throw LoadSettingsError(
        fmt::format("{}: expected [min, max] with min at least 1", key));
  }
  *range = {bounds[0], bounds[1]};
}

RequestKind ReadKind(ControlReader* reader) {
  std::string kind = "chat";
  reader->Read("kind", &kind);
  if (kind != "chat" && kind != "service") {
    throw LoadSettingsError("kind: expected chat or service");
  }
  return kind == "chat" ? RequestKind::kChat : RequestKind::kService;
}

RequestClass ReadClass(const Json& json) {
  ControlReader reader(json.dump());
  RequestClass result;
  result.kind = ReadKind(&reader);
  reader.Read("name", &result.name);
  reader.Read("share", &result.share);
  reader.Read("model", &result.model);
  reader.Read("stream", &result.stream);
  ReadRange(&reader, "prompt_tokens", &result.prompt_tokens);
  reader.Read("shared_prefix_tokens", &result.shared_prefix_tokens);
  ReadRange(&reader, "answer_tokens", &result.answer_tokens);
  reader.Read("method", &result.method);
  reader.Read("path", &result.path);
  reader.Read("quality_class", &result.quality_class);
  reader.Read("sessions", &result.sessions);
  reader.ReadDuration("deadline_ms", &result.deadline);
  reader.Read("idempotency_keys", &result.idempotency_keys);
  reader.Read("repeat_share", &result.repeat_share);
  reader.Finish();
  return result;
}

bool IsLoopback(const ListenAddress& address) {
  return address.ip.rfind("127.", 0) == 0;
}

}  // namespace

void ReadLoadPlan(const Json& json, LoadSettings* settings) {
  ControlReader reader(json.dump());
  Json classes = Json::array();
  reader.Read("classes", &classes);
  reader.Read("api_keys", &settings->api_keys);
  reader.Finish();
  settings->classes.clear();
  for (const Json& entry : classes) {
    settings->classes.push_back(ReadClass(entry));
  }
}

void CheckLoadSettings(const LoadSettings& settings) {
  if (settings.targets.empty()) {
    throw LoadSettingsError("at least one target is required");
  }
  for (const ListenAddress& target : settings.targets) {
    if (!IsLoopback(target)) {
      throw LoadSettingsError("targets must be loopback addresses");
    }
  }
  if (settings.rate <= 0 || settings.classes.empty()) {
    throw LoadSettingsError(
        "a rate above 0 and at least one class are required");
  }
  for (const RequestClass& entry : settings.classes) {
    const bool chat = entry.kind == RequestKind::kChat;
    if (entry.share <= 0 || (chat ? entry.model : entry.path).empty()) {
      throw LoadSettingsError(
          fmt::format("class {}: a share above 0 and a {} are required",
                      entry.name, chat ? "model" : "path"));
    }
  }
  if (settings.direct && settings.direct_version.empty()) {
    throw LoadSettingsError("--direct needs --version");
  }
}

}  // namespace filbertshift::emulator
