#include "src/ctl/running_system.h"

#include <fmt/format.h>

#include <utility>

namespace filbertshift {

namespace {

constexpr std::chrono::milliseconds kPollInterval{200};
// Number of reads after a lost reply, enough to see a write that is stored
// late.
constexpr int kReadBackAttempts = 10;
constexpr int kServiceUnavailable = 503;

// Returns the message of an error reply, or the HTTP status if the reply has no
// error object.
std::string ErrorMessage(const CallReply& reply) {
  nlohmann::json body = nlohmann::json::parse(reply.body, nullptr, false);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    std::string message = body["error"].value("code", "");
    message += ": " + body["error"].value("message", "");
    for (const nlohmann::json& finding :
         body["error"].value("findings", nlohmann::json::array())) {
      message +=
          fmt::format("\n{}:{}:{}: {}: {}", finding.value("source", ""),
                      finding.value("line", 0), finding.value("column", 0),
                      finding.value("path", ""), finding.value("message", ""));
    }
    return message;
  }
  return fmt::format("HTTP status {}", reply.http_status);
}

WriteResult ConflictResult(const CallReply& reply) {
  nlohmann::json body = nlohmann::json::parse(reply.body);
  WriteResult result;
  result.status = WriteStatus::kConflict;
  const nlohmann::json& current = body.at("current");
  result.current.revision = current.at("revision").get<std::uint64_t>();
  result.current.text = current.at("text").get<std::string>();
  result.current_author = current.value("author", "");
  return result;
}

WriteResult FailedWrite(WriteStatus status, std::string message) {
  WriteResult result;
  result.status = status;
  result.message = std::move(message);
  return result;
}

WriteResult InterpretReply(const CallReply& reply) {
  switch (reply.http_status) {
    case 200: {
      WriteResult result;
      result.status = WriteStatus::kAccepted;
      result.revision =
          nlohmann::json::parse(reply.body).at("revision").get<std::uint64_t>();
      return result;
    }
    case 409:
      return ConflictResult(reply);
    case 422:
      return FailedWrite(WriteStatus::kInvalid, ErrorMessage(reply));
    case 500:
    case 504:
      return FailedWrite(WriteStatus::kUnknown, ErrorMessage(reply));
    default:
      return FailedWrite(WriteStatus::kRefused, ErrorMessage(reply));
  }
}

}  // namespace

RunningSystem::RunningSystem(const Invocation& invocation)
    : environment_(invocation.environment),
      instances_(invocation.RequiredInstances()) {}

InstanceReply RunningSystem::Read(const std::string& address,
                                  const std::string& target) const {
  CallReply reply = environment_.client.Call({address, "GET", target, ""});
  InstanceReply result{address, std::nullopt, reply.detail};
  if (reply.outcome != CallOutcome::kReplied) {
    return result;
  }
  if (reply.http_status != 200) {
    result.detail = ErrorMessage(reply);
    return result;
  }
  nlohmann::json body = nlohmann::json::parse(reply.body, nullptr, false);
  if (body.is_object()) {
    result.body = std::move(body);
  } else {
    result.detail = "malformed reply";
  }
  return result;
}

std::vector<InstanceReply> RunningSystem::ReadAll(
    const std::string& target) const {
  std::vector<InstanceReply> replies;
  for (const std::string& address : instances_) {
    replies.push_back(Read(address, target));
  }
  return replies;
}

SectionTexts RunningSystem::ReadSections() const {
  SectionTexts newest;
  std::string details;
  for (const InstanceReply& reply : ReadAll("/v1/configuration")) {
    if (!reply.body) {
      details += fmt::format("\n  {}: {}", reply.address, reply.detail);
      continue;
    }
    for (Section section : ConfigurationSections()) {
      const nlohmann::json& entry =
          reply.body->at("sections").at(std::string(SectionName(section)));
      SectionText text{entry.at("revision").get<std::uint64_t>(),
                       entry.at("text").get<std::string>()};
      if (newest.count(section) == 0 ||
          newest[section].revision < text.revision) {
        newest[section] = std::move(text);
      }
    }
  }
  if (newest.empty()) {
    throw NotReachableError("no instance returned a valid reply:" + details);
  }
  return newest;
}

WriteResult RunningSystem::Write(const SectionWrite& write) const {
  const std::string target =
      fmt::format("/v1/configuration/{}?base_revision={}&author={}",
                  SectionName(write.section), write.base_revision,
                  EncodeQueryValue(write.author));
  std::optional<WriteResult> refused;
  for (const std::string& address : instances_) {
    CallReply reply =
        environment_.client.Call({address, "PUT", target, write.text});
    if (reply.outcome == CallOutcome::kNotConnected) {
      continue;
    }
    if (reply.outcome == CallOutcome::kNoReply) {
      return ResolveLostReply(write, reply.detail);
    }
    WriteResult result = InterpretReply(reply);
    if (result.status == WriteStatus::kUnknown) {
      return ResolveLostReply(write, result.message);
    }
    // Nothing was stored, but another instance may reach the table service.
    if (reply.http_status != kServiceUnavailable) {
      return result;
    }
    refused = result;
  }
  if (refused) {
    return *refused;
  }
  throw NotReachableError("no instance is reachable; nothing was sent");
}

WriteResult RunningSystem::ResolveLostReply(const SectionWrite& write,
                                            const std::string& detail) const {
  for (int attempt = 0; attempt < kReadBackAttempts; ++attempt) {
    environment_.sleep(kPollInterval);
    try {
      SectionText stored = ReadSections().at(write.section);
      if (stored.revision == write.base_revision + 1 &&
          stored.text == write.text) {
        WriteResult result;
        result.status = WriteStatus::kAccepted;
        result.revision = stored.revision;
        return result;
      }
    } catch (const NotReachableError&) {
      // Instances may be reachable again at the next attempt.
    }
  }
  return FailedWrite(WriteStatus::kUnknown,
                     detail + "; read the section before applying it again");
}

std::vector<std::string> RunningSystem::WaitForRevision(
    Section section,
    std::uint64_t revision,
    std::chrono::milliseconds timeout) const {
  const TimePoint deadline = environment_.clock.Now() + timeout;
  std::vector<std::string> waiting = instances_;
  while (true) {
    std::vector<std::string> behind;
    for (const std::string& address : waiting) {
      InstanceReply reply = Read(address, "/v1/instance");
      if (!reply.body || RevisionOf(*reply.body, section) < revision) {
        behind.push_back(address);
      }
    }
    if (behind.empty() || environment_.clock.Now() >= deadline) {
      return behind;
    }
    waiting = behind;
    environment_.sleep(kPollInterval);
  }
}

std::uint64_t RevisionOf(const nlohmann::json& instance, Section section) {
  auto revisions = instance.find("revisions");
  if (revisions == instance.end() || !revisions->is_object()) {
    return 0;
  }
  auto revision = revisions->find(std::string(SectionName(section)));
  return revision != revisions->end() && revision->is_number_unsigned()
             ? revision->get<std::uint64_t>()
             : 0;
}

}  // namespace filbertshift
