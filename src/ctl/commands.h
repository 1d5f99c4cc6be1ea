// Parses the command line of filbertshiftctl and runs the selected verb.

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

// Exit codes, documented in docs/OPERATIONS.md. Scripts rely on the values.
enum class ExitCode : int {
  kOk = 0,
  kFailure = 1,
  kUsage = 2,
  kFindings = 3,
  kConflict = 4,
  kNotReachable = 5,
  // Stored, but not in force at every instance before the timeout.
  kTimedOut = 6,
};

// External dependencies of the verbs, which tests replace.
struct CtlEnvironment {
  std::ostream& out;
  std::ostream& err;
  OperatorClient& client;
  const Clock& clock;
  std::function<void(std::chrono::milliseconds)> sleep;
};

// Runs one command. `arguments` does not include the program name.
ExitCode RunCommand(const std::vector<std::string>& arguments,
                    const CtlEnvironment& environment);

}  // namespace filbertshift

#endif  // SRC_CTL_COMMANDS_H_
