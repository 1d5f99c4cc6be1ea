// filbertshift-soak: plays seeded faults against instances as processes and
// checks what callers and endpoints see.

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <exception>
#include <iostream>

#include "tests/soak/soak_site.h"

namespace filbertshift {
namespace {

namespace po = boost::program_options;

// Part of the requests without a disruption that endpoints have to answer. They
// break off one whole answer in a hundred, some of which cannot be repeated.
constexpr double kLeastCalmServed = 0.95;

int RunSoak(const SoakOptions& options) {
  SoakSite site(options);
  site.Run();
  const SoakRecord& record = site.record();
  for (const std::string& violation : record.violations()) {
    std::printf("BROKEN %s\n", violation.c_str());
  }
  bool served =
      record.calm_requests() > 0 &&
      record.calm_served() >= kLeastCalmServed * record.calm_requests();
  if (!served) {
    std::printf("BROKEN calm requests are served\n");
  }
  std::printf("seed %u: %d requests, %d of %d calm ones served, %zu broken\n",
              options.seed, record.requests(), record.calm_served(),
              record.calm_requests(), record.violations().size());
  return served && record.violations().empty() ? 0 : 1;
}

int Main(int argc, char** argv) {
  SoakOptions options;
  int faults_s = 0;
  po::options_description description("filbertshift-soak");
  auto add = description.add_options();
  add("help", "print this text");
  add("program", po::value(&options.program)->required(),
      "path of filbertshift-gatewayd");
  add("folder", po::value(&options.folder)->required(),
      "folder for settings and logs");
  add("seed", po::value(&options.seed)->default_value(1), "seed of the faults");
  add("seconds", po::value(&faults_s)->default_value(30),
      "time in which faults come");
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
  options.faults = std::chrono::seconds(faults_s);
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
