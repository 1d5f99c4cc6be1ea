#include "src/config/daemon_program.h"

#include <fmt/format.h>

#include <boost/program_options/errors.hpp>
#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "src/common/common.h"

namespace filbertshift {

std::string ReadSettingsFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

int RunDaemonProgram(std::string_view name, const std::function<int()>& run) {
  try {
    return run();
  } catch (const boost::program_options::error& error) {
    fmt::print(stderr, "{}: {}\n", name, error.what());
    return kExitUsage;
  } catch (const FindingsError& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitFindings;
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}: {}\n", name, error.what());
    return kExitFailure;
  }
}

}  // namespace filbertshift
