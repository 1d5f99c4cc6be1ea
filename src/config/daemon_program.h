// Settings file, error handling and exit codes shared by the daemons' main
// functions.

#ifndef SRC_CONFIG_DAEMON_PROGRAM_H_
#define SRC_CONFIG_DAEMON_PROGRAM_H_

#include <functional>
#include <string>
#include <string_view>

namespace filbertshift {

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr int kExitFindings = 3;

// Appended to the help text of each daemon.
constexpr std::string_view kExitCodesHelp =
    "\nExit codes: 0 ok, 1 failure, 2 usage, 3 findings in the settings\n";

// Throws std::runtime_error if the file cannot be read.
std::string ReadSettingsFile(const std::string& path);

// Runs the daemon and returns its exit code. Exceptions are printed to standard
// error and mapped to the exit codes above.
int RunDaemonProgram(std::string_view name, const std::function<int()>& run);

}  // namespace filbertshift

#endif  // SRC_CONFIG_DAEMON_PROGRAM_H_
