// A command with its parsed options, and the declaration of verbs.

#ifndef SRC_CTL_INVOCATION_H_
#define SRC_CTL_INVOCATION_H_

#include <boost/program_options.hpp>

#include <stdexcept>
#include <string>
#include <vector>

#include "src/config/config.h"
#include "src/ctl/commands.h"

namespace filbertshift {

class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class NotReachableError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Invocation {
  const CtlEnvironment& environment;
  boost::program_options::variables_map options;
  // Admin addresses from --instance and --instances.
  std::vector<std::string> instances;
  bool json = false;

  bool Has(const std::string& name) const { return options.count(name) > 0; }
  // Returns an empty string if the option is not set.
  std::string Text(const std::string& name) const;
  // Throws UsageError if the option is missing or empty.
  std::string RequiredText(const std::string& name) const;
  // Throws UsageError if there are none.
  const std::vector<std::string>& RequiredInstances() const;
};

struct Verb {
  std::string name;
  // Names of the positional arguments, in order. Names in brackets are
  // optional.
  std::vector<std::string> positional;
  std::string summary;
  // Printed below the summary by --help.
  std::string help;
  void (*add_options)(boost::program_options::options_description&);
  ExitCode (*run)(const Invocation&);
};

// Each of these groups of verbs is implemented in a file of its own.
std::vector<Verb> DocumentVerbs();
std::vector<Verb> ApplyVerbs();
std::vector<Verb> EditVerbs();
std::vector<Verb> ShowVerbs();
std::vector<Verb> CatalogueVerbs();

// Throws UsageError for an unknown section.
Section SectionArgument(const std::string& name);

// Throws UsageError if the file cannot be read; "-" is standard input.
std::string ReadInputFile(const std::string& name);

}  // namespace filbertshift

#endif  // SRC_CTL_INVOCATION_H_
