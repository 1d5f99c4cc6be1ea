// Tests that the page for the operators on call lists all warnings and errors.

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

#include "src/common/common.h"
#include "src/ctl/ctl.h"

namespace filbertshift {
namespace {

// Guards against warnings and errors without documented actions.
TEST_CASE("docs/OPERATIONS.md has every warning and error", "[ctl]") {
  std::ifstream file(FILBERTSHIFT_SOURCE_DIR "/docs/OPERATIONS.md");
  std::stringstream page;
  page << file.rdbuf();
  for (const EventDefinition& definition : EventDefinitions()) {
    bool listed = definition.severity >= Severity::kWarning;
    std::ostringstream row;
    row << "| FS" << static_cast<int>(definition.id) << " " << definition.name
        << " |";
    INFO(row.str());
    CHECK((page.str().find(row.str()) != std::string::npos) == listed);
  }
}

}  // namespace
}  // namespace filbertshift
