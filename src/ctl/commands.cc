#include "src/ctl/commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "src/config/config.h"
#include "src/ctl/invocation.h"

namespace filbertshift {

namespace {

namespace po = boost::program_options;

const std::vector<Verb>& Verbs() {
  static const std::vector<Verb> kVerbs = [] {
    std::vector<Verb> verbs;
    for (const std::vector<Verb>& group :
         {DocumentVerbs(), ApplyVerbs(), EditVerbs(), ShowVerbs(),
          CatalogueVerbs()}) {
      verbs.insert(verbs.end(), group.begin(), group.end());
    }
    return verbs;
  }();
  return kVerbs;
}

bool IsOptionalArgument(const std::string& name) {
  return name.front() == '[';
}

// Returns the option name of a positional argument, as in "file" for "FILE".
std::string ArgumentOption(const std::string& name) {
  std::string option;
  for (char c : name) {
    if (c != '[' && c != ']') {
      option += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
  }
  return option;
}

po::options_description VisibleOptions(const Verb& verb) {
  po::options_description options("Options");
  options.add_options()("help", "show this help")("json",
                                                  "print JSON for scripts")(
      "instance", po::value<std::vector<std::string>>()->composing(),
      "admin address ip:port of an instance; may be repeated")(
      "instances", po::value<std::string>(),
      "JSON file with comments, {\"instances\": [\"ip:port\", ...]}");
  verb.add_options(options);
  return options;
}

void PrintOverview(std::ostream& out) {
  out << "Usage: filbertshiftctl VERB [ARGUMENTS] [OPTIONS]\n\n";
  for (const Verb& verb : Verbs()) {
    std::string synopsis = verb.name;
    for (const std::string& argument : verb.positional) {
      synopsis += " " + argument;
    }
    out << fmt::format("  {:<32} {}\n", synopsis, verb.summary);
  }
  out << "\nfilbertshiftctl VERB --help shows the options of a verb.\n"
         "Exit codes: 0 ok, 1 failure, 2 usage, 3 findings, 4 conflict,\n"
         "5 not reachable, 6 timed out waiting for a change to be in force.\n";
}

void PrintVerbHelp(const Verb& verb, std::ostream& out) {
  out << "Usage: filbertshiftctl " << verb.name;
  for (const std::string& argument : verb.positional) {
    out << " " << argument;
  }
  out << " [OPTIONS]\n\n" << verb.summary << "\n";
  if (!verb.help.empty()) {
    out << verb.help << "\n";
  }
  out << "\n" << VisibleOptions(verb);
}

po::variables_map ParseOptions(const Verb& verb,
                               const std::vector<std::string>& arguments) {
  po::options_description all = VisibleOptions(verb);
  po::positional_options_description positional;
  for (const std::string& argument : verb.positional) {
    std::string option = ArgumentOption(argument);
    all.add_options()(option.c_str(), po::value<std::string>());
    positional.add(option.c_str(), 1);
  }
  // Abbreviations are disabled, because a new option could change the meaning
  // of an abbreviation in a script.
  constexpr int kStyle = po::command_line_style::unix_style &
                         ~po::command_line_style::allow_guessing;
  po::variables_map values;
  po::store(po::command_line_parser(arguments)
                .options(all)
                .positional(positional)
                .style(kStyle)
                .run(),
            values);
  po::notify(values);
  return values;
}

std::vector<std::string> ReadInstancesFile(const std::string& name) {
  try {
    nlohmann::json file = nlohmann::json::parse(ReadInputFile(name), nullptr,
                                                true, /*ignore_comments=*/true);
    return file.at("instances").get<std::vector<std::string>>();
  } catch (const nlohmann::json::exception& error) {
    throw UsageError(
        fmt::format("{}: expected {{\"instances\": [\"ip:port\", ...]}}: {}",
                    name, error.what()));
  }
}

std::vector<std::string> Instances(const po::variables_map& options) {
  std::vector<std::string> instances;
  if (options.count("instance") > 0) {
    instances = options["instance"].as<std::vector<std::string>>();
  }
  if (options.count("instances") > 0) {
    for (const std::string& instance :
         ReadInstancesFile(options["instances"].as<std::string>())) {
      instances.push_back(instance);
    }
  }
  return instances;
}

ExitCode RunVerb(const Verb& verb,
                 const std::vector<std::string>& arguments,
                 const CtlEnvironment& environment) {
  if (std::find(arguments.begin(), arguments.end(), "--help") !=
      arguments.end()) {
    PrintVerbHelp(verb, environment.out);
    return ExitCode::kOk;
  }
  Invocation invocation{environment, ParseOptions(verb, arguments), {}, false};
  invocation.instances = Instances(invocation.options);
  invocation.json = invocation.Has("json");
  for (const std::string& argument : verb.positional) {
    if (!IsOptionalArgument(argument) &&
        !invocation.Has(ArgumentOption(argument))) {
      throw UsageError(
          fmt::format("{}: missing argument {}", verb.name, argument));
    }
  }
  return verb.run(invocation);
}

// Verb names have one or two words. Returns nullptr if no verb matches.
const Verb* FindVerb(const std::vector<std::string>& arguments) {
  for (const Verb& verb : Verbs()) {
    std::size_t space = verb.name.find(' ');
    if (space == std::string::npos) {
      if (arguments[0] == verb.name) {
        return &verb;
      }
    } else if (arguments.size() > 1 &&
               arguments[0] + " " + arguments[1] == verb.name) {
      return &verb;
    }
  }
  return nullptr;
}

ExitCode Dispatch(const std::vector<std::string>& arguments,
                  const CtlEnvironment& environment) {
  if (arguments.empty()) {
    PrintOverview(environment.err);
    return ExitCode::kUsage;
  }
  if (arguments[0] == "--help" || arguments[0] == "help") {
    PrintOverview(environment.out);
    return ExitCode::kOk;
  }
  const Verb* verb = FindVerb(arguments);
  if (verb == nullptr) {
    throw UsageError("unknown verb \"" + arguments[0] +
                     "\"; filbertshiftctl --help lists all verbs");
  }
  std::ptrdiff_t words =
      1 + std::count(verb->name.begin(), verb->name.end(), ' ');
  return RunVerb(*verb, {arguments.begin() + words, arguments.end()},
                 environment);
}

void PrintFindings(const FindingsError& error,
                   bool json,
                   const CtlEnvironment& environment) {
  if (json) {
    environment.out << "{\"findings\":" << FindingsToJson(error.findings())
                    << "}\n";
    return;
  }
  for (const Finding& finding : error.findings()) {
    environment.err << FormatFinding(finding) << "\n";
  }
}

}  // namespace

std::string Invocation::Text(const std::string& name) const {
  return Has(name) ? options[name].as<std::string>() : std::string();
}

std::string Invocation::RequiredText(const std::string& name) const {
  std::string text = Text(name);
  if (text.empty()) {
    throw UsageError("option --" + name + " is required");
  }
  return text;
}

const std::vector<std::string>& Invocation::RequiredInstances() const {
  if (instances.empty()) {
    throw UsageError(
        "at least one --instance ip:port or --instances FILE is required");
  }
  return instances;
}

Section SectionArgument(const std::string& name) {
  try {
    return ParseSectionName(name);
  } catch (const std::invalid_argument& error) {
    throw UsageError(error.what());
  }
}

std::string ReadInputFile(const std::string& name) {
  if (name == "-") {
    return {std::istreambuf_iterator<char>(std::cin), {}};
  }
  std::ifstream file(name, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file.is_open() || file.bad()) {
    throw UsageError("cannot read file \"" + name + "\"");
  }
  return text;
}

ExitCode RunCommand(const std::vector<std::string>& arguments,
                    const CtlEnvironment& environment) {
  try {
    return Dispatch(arguments, environment);
  } catch (const FindingsError& error) {
    bool json = std::find(arguments.begin(), arguments.end(), "--json") !=
                arguments.end();
    PrintFindings(error, json, environment);
    return ExitCode::kFindings;
  } catch (const UsageError& error) {
    environment.err << "filbertshiftctl: " << error.what() << "\n";
    return ExitCode::kUsage;
  } catch (const po::error& error) {
    environment.err << "filbertshiftctl: " << error.what() << "\n";
    return ExitCode::kUsage;
  } catch (const NotReachableError& error) {
    environment.err << "filbertshiftctl: " << error.what() << "\n";
    return ExitCode::kNotReachable;
  } catch (const std::exception& error) {
    environment.err << "filbertshiftctl: " << error.what() << "\n";
    return ExitCode::kFailure;
  }
}

}  // namespace filbertshift
