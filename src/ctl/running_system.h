// Access to the instances that a command names, through their operator
// interfaces.

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

// Reply of one instance to a read.
struct InstanceReply {
  std::string address;
  // Empty if there is no valid reply.
  std::optional<nlohmann::json> body;
  // Error message if there is no valid reply.
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
  // The section may or may not have been stored.
  kUnknown,
};

struct WriteResult {
  WriteStatus status = WriteStatus::kUnknown;
  // For kAccepted: the revision that was stored.
  std::uint64_t revision = 0;
  // For kConflict: the stored section and its author.
  SectionText current;
  std::string current_author;
  // For kInvalid, kRefused and kUnknown.
  std::string message;
};

class RunningSystem {
 public:
  // Throws UsageError if the command names no instance.
  explicit RunningSystem(const Invocation& invocation);

  // Sends a GET request to every instance.
  std::vector<InstanceReply> ReadAll(const std::string& target) const;
  // Returns the newest revision of each section that any instance reports.
  // Throws NotReachableError if there is no valid reply.
  SectionTexts ReadSections() const;

  // Writes through the first instance that is reachable and can store the
  // section. If the reply is lost, reads the section back to learn the outcome.
  WriteResult Write(const SectionWrite& write) const;

  // Waits until every instance reports at least this revision. Returns the
  // addresses of the instances that do not before the timeout.
  std::vector<std::string> WaitForRevision(
      Section section,
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

// Returns the revision of a section in a reply of /v1/instance, or 0 if there
// is none.
std::uint64_t RevisionOf(const nlohmann::json& instance, Section section);

}  // namespace filbertshift

#endif  // SRC_CTL_RUNNING_SYSTEM_H_
