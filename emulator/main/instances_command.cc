#include "emulator/instances/instances.h"
#include "emulator/main/command.h"

namespace filbertshift::emulator {

int RunInstancesCommand(const std::vector<std::string>& arguments) {
  namespace options = boost::program_options;
  options::options_description description("filbertshift-emulator instances");
  AddPortOptions(&description);
  AddFaultOption(&description);
  description.add_options()("instances", options::value<std::string>(),
                            "JSON file with the first list");
  options::variables_map values;
  if (!ParseOptions(arguments, description, &values)) {
    return 0;
  }
  Json list = Json::array();
  if (values.count("instances") > 0) {
    list = ReadJsonFile(values["instances"].as<std::string>());
  }
  InstanceListService service(ReadPorts(values), list);
  ApplyFaultOption(values, &service);
  return Serve(&service);
}

}  // namespace filbertshift::emulator
