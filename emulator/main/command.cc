#include "emulator/main/command.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace filbertshift::emulator {

namespace options = boost::program_options;

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace

bool ParseOptions(const std::vector<std::string>& arguments,
                  const options::options_description& description,
                  options::variables_map* values) {
  options::options_description all;
  all.add(description).add_options()("help", "print this help");
  try {
    options::store(options::command_line_parser(arguments).options(all).run(),
                   *values);
    if (values->count("help") > 0) {
      std::cout << all;
      return false;
    }
    options::notify(*values);
  } catch (const options::error& error) {
    throw UsageError(error.what());
  }
  return true;
}

void AddPortOptions(options::options_description* description) {
  description->add_options()(
      "listen", options::value<std::string>()->default_value("127.0.0.1:0"),
      "IP number and port of the service; port 0 takes a free one")(
      "control", options::value<std::string>(),
      "IP number and port of a second listener for control requests, which "
      "stays reachable while the service refuses connections");
}

ServicePorts ReadPorts(const options::variables_map& values) {
  try {
    ServicePorts ports;
    ports.listen = ParseListenAddress(values["listen"].as<std::string>());
    if (values.count("control") > 0) {
      ports.control = ParseListenAddress(values["control"].as<std::string>());
    }
    return ports;
  } catch (const std::invalid_argument& error) {
    throw UsageError(error.what());
  }
}

void AddFaultOption(options::options_description* description) {
  description->add_options()(
      "faults", options::value<std::string>(),
      "JSON object as for POST /_control, such as {\"delay_ms\":5}");
}

void ApplyFaultOption(const options::variables_map& values,
                      EmulatedService* service) {
  if (values.count("faults") == 0) {
    return;
  }
  try {
    service->ApplyControl(values["faults"].as<std::string>());
  } catch (const ControlError& error) {
    throw UsageError(std::string("--faults: ") + error.what());
  }
}

Json ReadJsonFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw UsageError("cannot read " + path);
  }
  try {
    return Json::parse(file, nullptr, true, true);
  } catch (const Json::exception& error) {
    throw UsageError(path + ": " + error.what());
  }
}

int Serve(EmulatedService* service) {
  service->Start();
  PrintAddress("listening", service->address());
  if (service->control_address() != nullptr) {
    PrintAddress("control", *service->control_address());
  }
  WaitForStopSignal();
  service->Stop();
  return 0;
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

void RestoreStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

void PrintAddress(const char* label, const ListenAddress& address) {
  std::printf("%s %s\n", label, FormatListenAddress(address).c_str());
  std::fflush(stdout);
}

}  // namespace filbertshift::emulator
