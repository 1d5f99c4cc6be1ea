// Entry point of filbertshiftd, the daemon of an entry instance.

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "src/config/daemon_program.h"
#include "src/daemon/daemon.h"

namespace filbertshift {
namespace {

namespace po = boost::program_options;

struct Arguments {
  std::string settings_file;
  std::vector<std::string> overrides;
  bool check_only = false;
};

// Returns false if the help text was printed and the process should exit.
// Throws po::error for invalid arguments.
bool ParseArguments(int argc, char** argv, Arguments* arguments) {
  po::options_description options("filbertshiftd [options]");
  options.add_options()("help", "show this help")(
      "settings", po::value(&arguments->settings_file)->required(),
      "settings file, JSON with comments")(
      "set", po::value(&arguments->overrides)->composing(),
      "name=value; overrides one setting of the file")(
      "check", po::bool_switch(&arguments->check_only),
      "check the settings and exit");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  if (values.count("help") > 0) {
    std::cout << options << kExitCodesHelp;
    return false;
  }
  po::notify(values);
  return true;
}

// Must run before any thread starts: threads inherit the mask, so that SIGTERM
// and SIGINT are only received by the sigwait in Run.
void BlockSignals(sigset_t* signals) {
  sigemptyset(signals);
  sigaddset(signals, SIGTERM);
  sigaddset(signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

int Run(const Arguments& arguments) {
  ProcessSettings settings = ParseProcessSettings(
      arguments.settings_file, ReadSettingsFile(arguments.settings_file),
      arguments.overrides);
  if (arguments.check_only) {
    return kExitOk;
  }
  sigset_t signals;
  BlockSignals(&signals);
  Daemon daemon(settings);
  int signal = 0;
  sigwait(&signals, &signal);
  daemon.RequestShutdown();
  return daemon.Join() ? kExitOk : kExitFailure;
}

}  // namespace
}  // namespace filbertshift

int main(int argc, char** argv) {
  using namespace filbertshift;  // NOLINT(google-build-using-namespace)
  return RunDaemonProgram("filbertshiftd", [&] {
    Arguments arguments;
    return ParseArguments(argc, argv, &arguments) ? Run(arguments) : kExitOk;
  });
}
