// Tests of the exit codes of the daemons.

#include <catch2/catch.hpp>

#include <boost/program_options/errors.hpp>
#include <stdexcept>

#include "src/common/common.h"
#include "src/config/daemon_program.h"

namespace filbertshift {
namespace {

// Guards against a script mistaking invalid settings for a crash.
TEST_CASE("each kind of error has its own exit code", "[config]") {
  CHECK(RunDaemonProgram("test", [] { return kExitOk; }) == kExitOk);
  CHECK(RunDaemonProgram("test", []() -> int {
          throw boost::program_options::required_option("settings");
        }) == kExitUsage);
  CHECK(RunDaemonProgram("test", []() -> int {
          throw FindingsError({{"file", "/path", 1, 2, "wrong"}});
        }) == kExitFindings);
  CHECK(RunDaemonProgram("test", [] {
          ReadSettingsFile("/no/such/file");
          return kExitOk;
        }) == kExitFailure);
}

}  // namespace
}  // namespace filbertshift
