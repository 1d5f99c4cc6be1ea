// Applies changes of sections and reports the result; shared by the verbs that
// write.

#ifndef SRC_CTL_SECTION_CHANGE_H_
#define SRC_CTL_SECTION_CHANGE_H_

#include <string>
#include <vector>

#include "src/ctl/running_system.h"

namespace filbertshift {

// Adds --author, --wait and --wait-timeout.
void AddChangeOptions(boost::program_options::options_description& options);

// Writes one section. `stored` are the sections as they were read; the text of
// the section to write is compared with it for the report. Throws FindingsError
// before anything is sent if the new text is not valid.
ExitCode ChangeSection(const Invocation& invocation,
                       const RunningSystem& system,
                       const SectionTexts& stored,
                       const SectionWrite& write);

// Names the file instead of the section as the source of its findings.
std::vector<Finding> WithSource(const std::string& file,
                                Section section,
                                std::vector<Finding> findings);
// Throws FindingsError if there are any, with the file as source.
void ThrowFindings(const std::string& file,
                   Section section,
                   std::vector<Finding> findings);

void PrintChanges(std::ostream& out, const std::vector<SectionChange>& changes);
nlohmann::json ChangesToJson(const std::vector<SectionChange>& changes);

}  // namespace filbertshift

#endif  // SRC_CTL_SECTION_CHANGE_H_
