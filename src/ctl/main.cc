// filbertshiftctl: the operators' command-line tool.

#include <csignal>
#include <iostream>
#include <thread>

#include "src/ctl/ctl.h"

int main(int argc, char** argv) {
  // Terminate without an error message if the reader closes the pipe early.
  std::signal(SIGPIPE, SIG_DFL);
  filbertshift::CurlOperatorClient client;
  filbertshift::SystemClock clock;
  filbertshift::CtlEnvironment environment{std::cout, std::cerr, client, clock,
                                           [](std::chrono::milliseconds time) {
                                             std::this_thread::sleep_for(time);
                                           }};
  std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(filbertshift::RunCommand(arguments, environment));
}
