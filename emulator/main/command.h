// Subcommands of filbertshift-emulator and the helpers that they share.

#ifndef EMULATOR_MAIN_COMMAND_H_
#define EMULATOR_MAIN_COMMAND_H_

#include <boost/program_options.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "emulator/http/http.h"

namespace filbertshift::emulator {

// Thrown for an invalid command line, with a message for the user.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Command {
  const char* name;
  const char* description;
  // Returns the exit status.
  int (*run)(const std::vector<std::string>& arguments);
};

int RunTableCommand(const std::vector<std::string>& arguments);
int RunInstancesCommand(const std::vector<std::string>& arguments);
int RunEngineCommand(const std::vector<std::string>& arguments);
int RunServiceCommand(const std::vector<std::string>& arguments);
int RunProxyCommand(const std::vector<std::string>& arguments);
int RunLoadCommand(const std::vector<std::string>& arguments);
int RunObjectsCommand(const std::vector<std::string>& arguments);
int RunRatingCommand(const std::vector<std::string>& arguments);

// Parses the options. Returns false if it printed the help instead. Throws
// UsageError.
bool ParseOptions(const std::vector<std::string>& arguments,
                  const boost::program_options::options_description& options,
                  boost::program_options::variables_map* values);

// Adds the options --listen and --control.
void AddPortOptions(boost::program_options::options_description* options);
ServicePorts ReadPorts(const boost::program_options::variables_map& values);

// Reads a JSON file that may contain comments. Throws UsageError.
Json ReadJsonFile(const std::string& path);

// Adds the option --faults.
void AddFaultOption(boost::program_options::options_description* options);
// Throws UsageError.
void ApplyFaultOption(const boost::program_options::variables_map& values,
                      EmulatedService* service);

// Starts the service, prints its addresses and waits for SIGINT or SIGTERM.
int Serve(EmulatedService* service);

// Waits for SIGINT or SIGTERM, which main has blocked for all threads.
void WaitForStopSignal();

// Restores the default handling of SIGINT and SIGTERM, which ends the process.
void RestoreStopSignals();

// Prints a line such as "<label> 127.0.0.1:8080" and flushes the output.
void PrintAddress(const char* label, const ListenAddress& address);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_MAIN_COMMAND_H_
