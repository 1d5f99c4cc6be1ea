// Writes a changed section and reports the result, for the verbs that change
// the configuration.

#ifndef SRC_CTL_SECTION_CHANGE_H_
#define SRC_CTL_SECTION_CHANGE_H_

#include <string>
#include <vector>

#include "src/ctl/running_system.h"

namespace filbertshift {

// Adds --author, --wait and --wait-timeout.
void AddChangeOptions(boost::program_options::options_description& options);

// Writes one section and reports its changes against `stored`, the sections as
// they were read. If the new text is invalid, throws FindingsError before
// anything is sent.
ExitCode ChangeSection(const Invocation& invocation,
                       const RunningSystem& system,
                       const SectionTexts& stored,
                       const SectionWrite& write);

// Replaces the section name by the file name as the source of findings.
std::vector<Finding> WithSource(const std::string& file,
                                Section section,
                                std::vector<Finding> findings);
// Throws FindingsError, with the file as source, if there are any findings.
void ThrowIfFindings(const std::string& file,
                     Section section,
                     std::vector<Finding> findings);

void PrintChanges(std::ostream& out, const std::vector<SectionChange>& changes);
nlohmann::json ChangesToJson(const std::vector<SectionChange>& changes);

}  // namespace filbertshift

#endif  // SRC_CTL_SECTION_CHANGE_H_
