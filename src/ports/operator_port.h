// Commands of operators to one instance, and their results.

#ifndef SRC_PORTS_OPERATOR_PORT_H_
#define SRC_PORTS_OPERATOR_PORT_H_

#include <cstdint>
#include <string>
#include <variant>

#include "src/common/common.h"

namespace filbertshift {

// Identifies a waiting call of the operator interface within one process.
enum class OperatorCallId : std::uint64_t {};

// Replies with the JSON text of the instance's own state: identity, readiness,
// revisions and peers.
struct ShowInstance {};
// All endpoints with state, share, load and suspicion.
struct ShowEndpoints {};
// All sections as they are in force, with revisions.
struct ShowConfiguration {};
// Roll-outs with step, exposure and counts.
struct ShowRollouts {};
// Writes one section to the table service if it is still at `base_revision`.
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

// Called by the core thread; returns at once.
class OperatorPort {
 public:
  virtual ~OperatorPort() = default;
  virtual void Reply(OperatorReply reply) = 0;
};

}  // namespace filbertshift

#endif  // SRC_PORTS_OPERATOR_PORT_H_
