// filbertshift-soak: runs router instances as child processes, injects seeded
// faults and checks the results at callers and endpoints.

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <exception>
#include <iostream>

#include "tests/soak/soak_site.h"

namespace filbertshift {
namespace {

namespace po = boost::program_options;

// Minimum share of the requests outside of faults that must get a response from
// an endpoint. It is below 1 because endpoints abort one response in a hundred,
// and non-idempotent requests are not retried.
constexpr double kMinFaultFreeServedRatio = 0.95;

int RunSoak(const SoakOptions& options) {
  SoakSite site(options);
  site.Run();
  const SoakRecord& record = site.record();
  for (const std::string& violation : record.violations()) {
    std::printf("BROKEN %s\n", violation.c_str());
  }
  bool served = record.fault_free_requests() > 0 &&
                record.fault_free_served() >=
                    kMinFaultFreeServedRatio * record.fault_free_requests();
  if (!served) {
    std::printf("BROKEN calm requests are served\n");
  }
  std::printf("seed %u: %d requests, %d of %d calm ones served, %zu broken\n",
              options.seed, record.requests(), record.fault_free_served(),
              record.fault_free_requests(), record.violations().size());
  return served && record.violations().empty() ? 0 : 1;
}

int Main(int argc, char** argv) {
  SoakOptions options;
  int fault_duration_s = 0;
  po::options_description description("filbertshift-soak");
  auto add = description.add_options();
  add("help", "print this text");
  add("program", po::value(&options.program)->required(),
      "path of filbertshift-gatewayd");
  add("folder", po::value(&options.folder)->required(),
      "existing folder for settings and logs");
  add("seed", po::value(&options.seed)->default_value(1), "seed of the faults");
  add("seconds", po::value(&fault_duration_s)->default_value(30),
      "duration of fault injection in seconds");
  add("endpoints", po::value(&options.endpoints)->default_value(6),
      "number of endpoints");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.count("help") > 0) {
      std::cout << description;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << description;
    return 2;
  }
  options.fault_duration = std::chrono::seconds(fault_duration_s);
  return RunSoak(options);
}

}  // namespace
}  // namespace filbertshift

int main(int argc, char** argv) {
  try {
    return filbertshift::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}
