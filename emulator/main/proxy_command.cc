#include "emulator/main/command.h"
#include "emulator/proxy/proxy.h"

namespace filbertshift::emulator {

int RunProxyCommand(const std::vector<std::string>& arguments) {
  namespace options = boost::program_options;
  options::options_description description("filbertshift-emulator proxy");
  description.add_options()(
      "listen", options::value<std::string>()->default_value("127.0.0.1:0"),
      "IP number and port for clients; port 0 takes a free one")(
      "target", options::value<std::string>()->required(),
      "IP number and port that connections are forwarded to")(
      "control", options::value<std::string>()->default_value("127.0.0.1:0"),
      "IP number and port of the control requests");
  options::variables_map values;
  if (!ParseOptions(arguments, description, &values)) {
    return 0;
  }
  FaultProxy proxy(ParseListenAddress(values["listen"].as<std::string>()),
                   ParseListenAddress(values["target"].as<std::string>()));
  ProxyControl control(ParseListenAddress(values["control"].as<std::string>()),
                       proxy);
  PrintAddress("listening", proxy.address());
  PrintAddress("control", control.address());
  WaitForStopSignal();
  return 0;
}

}  // namespace filbertshift::emulator
