// Port between the core and the operator interface of one instance.

#ifndef SRC_PORTS_OPERATOR_PORT_H_
#define SRC_PORTS_OPERATOR_PORT_H_

#include <cstdint>
#include <string>
#include <variant>

#include "src/common/common.h"

namespace filbertshift {

// Identifies a pending call of the operator interface within one process.
enum class OperatorCallId : std::uint64_t {};

// Returns the state of the instance itself: identity, readiness, revisions and
// peers.
struct ShowInstance {};
// Returns all endpoints with state, share, load and suspicion.
struct ShowEndpoints {};
// Returns all sections in force, with revisions.
struct ShowConfiguration {};
// Returns all rollouts with step, exposure and counts.
struct ShowRollouts {};
// Writes a section to the table service if it is still at `base_revision`.
struct ApplySection {
  std::string section;
  std::uint64_t base_revision = 0;
  std::string text;
  std::string author;
};

using OperatorCommand = std::variant<ShowInstance,
                                     ShowEndpoints,
                                     ShowConfiguration,
                                     ShowRollouts,
                                     ApplySection>;

struct OperatorRequest {
  OperatorCallId call{};
  OperatorCommand command;
};

struct OperatorReply {
  OperatorCallId call{};
  int http_status = 200;
  // JSON text.
  std::string body;
};

// Methods are called by the core thread and do not block.
class OperatorPort {
 public:
  virtual ~OperatorPort() = default;
  virtual void Reply(OperatorReply reply) = 0;
};

}  // namespace filbertshift

#endif  // SRC_PORTS_OPERATOR_PORT_H_
