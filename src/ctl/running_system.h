// Reads from and writes to the instances that a command names.

#ifndef SRC_CTL_RUNNING_SYSTEM_H_
#define SRC_CTL_RUNNING_SYSTEM_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/config/config.h"
#include "src/ctl/invocation.h"

namespace filbertshift {

// What one instance replied to a read.
struct InstanceReply {
  std::string address;
  // Empty if there is no valid reply.
  std::optional<nlohmann::json> body;
  // Why there is none.
  std::string detail;
};

struct SectionWrite {
  Section section = Section::kModels;
  std::uint64_t base_revision = 0;
  std::string text;
  std::string author;
};

enum class WriteStatus {
  kAccepted,
  kConflict,
  kInvalid,
  kRefused,
  // It is not known whether the section was stored.
  kUnknown,
};

struct WriteResult {
  WriteStatus status = WriteStatus::kUnknown;
  // The revision that was stored.
  std::uint64_t revision = 0;
  // After a conflict: what is stored.
  SectionText current;
  std::string current_author;
  // For kInvalid, kRefused and kUnknown.
  std::string message;
};

class RunningSystem {
 public:
  // Throws UsageError if the command names no instance.
  explicit RunningSystem(const Invocation& invocation);

  // Asks every instance.
  std::vector<InstanceReply> ReadAll(const std::string& target) const;
  // The newest revision of each section at any instance. Throws
  // NotReachableError if there is no valid reply.
  SectionTexts ReadSections() const;

  // Writes at the first instance that can be reached and can store it. A lost
  // reply is resolved by reading the section back.
  WriteResult Write(const SectionWrite& write) const;

  // Waits until every instance shows at least this revision. Returns the
  // addresses of those that do not in time.
  std::vector<std::string> WaitInForce(Section section,
                                       std::uint64_t revision,
                                       std::chrono::milliseconds timeout) const;

 private:
  InstanceReply Read(const std::string& address,
                     const std::string& target) const;
  WriteResult ResolveLostReply(const SectionWrite& write,
                               const std::string& detail) const;

  const CtlEnvironment& environment_;
  const std::vector<std::string> instances_;
};

// The revision of a section in a reply of /v1/instance; 0 if it has none.
std::uint64_t RevisionOf(const nlohmann::json& instance, Section section);

}  // namespace filbertshift

#endif  // SRC_CTL_RUNNING_SYSTEM_H_
