// filbertshiftd: the daemon of one entry instance.

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "src/daemon/daemon.h"

namespace filbertshift {
namespace {

namespace po = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr int kExitFindings = 3;

struct Arguments {
  std::string settings_file;
  std::vector<std::string> overrides;
  bool check_only = false;
};

// Returns false if the process has nothing more to do. Throws po::error.
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
    std::cout << options
              << "\nExit codes: 0 ok, 1 failure, 2 usage, 3 findings in the "
                 "settings\n";
    return false;
  }
  po::notify(values);
  return true;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// All threads inherit the mask, so that only this function sees the signals.
void BlockSignals(sigset_t* signals) {
  sigemptyset(signals);
  sigaddset(signals, SIGTERM);
  sigaddset(signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

int Run(const Arguments& arguments) {
  ProcessSettings settings = ParseProcessSettings(
      arguments.settings_file, ReadFile(arguments.settings_file),
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
  Arguments arguments;
  try {
    if (!ParseArguments(argc, argv, &arguments)) {
      return kExitOk;
    }
    return Run(arguments);
  } catch (const boost::program_options::error& error) {
    fmt::print(stderr, "filbertshiftd: {}\n", error.what());
    return kExitUsage;
  } catch (const FindingsError& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitFindings;
  } catch (const std::exception& error) {
    fmt::print(stderr, "filbertshiftd: {}\n", error.what());
    return kExitFailure;
  }
}
