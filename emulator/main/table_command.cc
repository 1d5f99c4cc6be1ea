#include "emulator/main/command.h"
#include "emulator/table/table.h"

namespace filbertshift::emulator {

int RunTableCommand(const std::vector<std::string>& arguments) {
  namespace options = boost::program_options;
  options::options_description description("filbertshift-emulator table");
  AddPortOptions(&description);
  AddFaultOption(&description);
  options::variables_map values;
  if (!ParseOptions(arguments, description, &values)) {
    return 0;
  }
  TableService service(ReadPorts(values));
  ApplyFaultOption(values, &service);
  return Serve(&service);
}

}  // namespace filbertshift::emulator
