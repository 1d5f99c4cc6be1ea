// The verbs of filbertshiftctl.

#ifndef SRC_CTL_COMMANDS_H_
#define SRC_CTL_COMMANDS_H_

#include <chrono>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "src/common/common.h"
#include "src/ctl/operator_client.h"

namespace filbertshift {

// Exit codes; documented in docs/OPERATIONS.md and stable for scripts.
enum class ExitCode : int {
  kOk = 0,
  kFailure = 1,
  kUsage = 2,
  kFindings = 3,
  kConflict = 4,
  kNotReachable = 5,
  // Applied, but not in force everywhere in time.
  kTimedOut = 6,
};

// What the verbs use of their surroundings, so that tests can replace it.
struct CtlEnvironment {
  std::ostream& out;
  std::ostream& err;
  OperatorClient& client;
  const Clock& clock;
  std::function<void(std::chrono::milliseconds)> sleep;
};

// Runs one command. `arguments` are those of the process without its name.
ExitCode RunCommand(const std::vector<std::string>& arguments,
                    const CtlEnvironment& environment);

}  // namespace filbertshift

#endif  // SRC_CTL_COMMANDS_H_
