// filbertshift-emulator: emulators of the external systems that the router
// depends on, test tools and a load generator, with one subcommand each.

#include <csignal>
#include <cstdio>
#include <cstring>
#include <exception>

#include "emulator/main/command.h"

namespace filbertshift::emulator {
namespace {

constexpr Command kCommands[] = {
    {"table", "transactional table service", &RunTableCommand},
    {"instances", "instance list", &RunInstancesCommand},
    {"engine", "model engine", &RunEngineCommand},
    {"service", "plain service", &RunServiceCommand},
    {"proxy", "fault-injecting TCP proxy", &RunProxyCommand},
    {"load", "load generator", &RunLoadCommand},
    {"objects", "object store", &RunObjectsCommand},
    {"rating", "rating service", &RunRatingCommand},
};

void PrintUsage(std::FILE* out) {
  std::fputs("usage: filbertshift-emulator COMMAND [--help] [OPTIONS]\n", out);
  for (const Command& command : kCommands) {
    std::fprintf(out, "  %-10s %s\n", command.name, command.description);
  }
}

int Run(int argc, char** argv) {
  if (argc < 2) {
    PrintUsage(stderr);
    return 2;
  }
  if (std::strcmp(argv[1], "--help") == 0) {
    PrintUsage(stdout);
    return 0;
  }
  for (const Command& command : kCommands) {
    if (std::strcmp(command.name, argv[1]) == 0) {
      return command.run(std::vector<std::string>(argv + 2, argv + argc));
    }
  }
  PrintUsage(stderr);
  return 2;
}

// Must run before threads start: they inherit the mask, so that only the main
// thread receives the signals.
void BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace
}  // namespace filbertshift::emulator

int main(int argc, char** argv) {
  filbertshift::emulator::BlockSignals();
  try {
    return filbertshift::emulator::Run(argc, argv);
  } catch (const filbertshift::emulator::UsageError& error) {
    std::fprintf(stderr, "filbertshift-emulator: %s\n", error.what());
    return 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "filbertshift-emulator: %s\n", error.what());
    return 1;
  }
}
