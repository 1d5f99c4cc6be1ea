#include "emulator/main/command.h"
#include "emulator/service/service.h"

namespace filbertshift::emulator {

int RunServiceCommand(const std::vector<std::string>& arguments) {
  namespace options = boost::program_options;
  options::options_description description("filbertshift-emulator service");
  AddPortOptions(&description);
  AddFaultOption(&description);
  description.add_options()(
      "name", options::value<std::string>()->default_value("service"),
      "name of the service in its answers")(
      "restart-ms", options::value<int>()->default_value(1000),
      "time between a crash and the next life, milliseconds");
  options::variables_map values;
  if (!ParseOptions(arguments, description, &values)) {
    return 0;
  }
  PlainService service(
      ReadPorts(values), values["name"].as<std::string>(),
      std::chrono::milliseconds(values["restart-ms"].as<int>()));
  ApplyFaultOption(values, &service);
  return Serve(&service);
}

}  // namespace filbertshift::emulator
