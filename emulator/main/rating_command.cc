#include "emulator/main/command.h"
#include "emulator/rating/rating.h"

namespace filbertshift::emulator {

int RunRatingCommand(const std::vector<std::string>& arguments) {
  namespace options = boost::program_options;
  options::options_description description("filbertshift-emulator rating");
  AddPortOptions(&description);
  AddFaultOption(&description);
  description.add_options()("scores", options::value<std::string>(),
                            "JSON file with the scores, noise and seed");
  options::variables_map values;
  if (!ParseOptions(arguments, description, &values)) {
    return 0;
  }
  Json settings = Json::object();
  if (values.count("scores") > 0) {
    settings = ReadJsonFile(values["scores"].as<std::string>());
  }
  try {
    RatingService service(ReadPorts(values), settings);
    ApplyFaultOption(values, &service);
    return Serve(&service);
  } catch (const ControlError& error) {
    throw UsageError(error.what());
  }
}

}  // namespace filbertshift::emulator
