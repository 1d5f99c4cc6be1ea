#include "emulator/main/command.h"
#include "emulator/objects/objects.h"

namespace filbertshift::emulator {

int RunObjectsCommand(const std::vector<std::string>& arguments) {
  namespace options = boost::program_options;
  options::options_description description("filbertshift-emulator objects");
  AddPortOptions(&description);
  AddFaultOption(&description);
  options::variables_map values;
  if (!ParseOptions(arguments, description, &values)) {
    return 0;
  }
  ObjectService service(ReadPorts(values));
  ApplyFaultOption(values, &service);
  return Serve(&service);
}

}  // namespace filbertshift::emulator
