// Lines that no valid HTTP/1.1 response has, without line breaks.

#ifndef TESTS_UNIT_SUPPORT_BROKEN_LINES_H_
#define TESTS_UNIT_SUPPORT_BROKEN_LINES_H_

#include <string>
#include <vector>

namespace filbertshift {

const std::vector<std::string>& BrokenStatusLines();

// Lines in place of a field: blanks and control bytes in, before and after its
// name, a continued line, and lines without a name or a colon.
const std::vector<std::string>& BrokenFieldLines();

}  // namespace filbertshift

#endif  // TESTS_UNIT_SUPPORT_BROKEN_LINES_H_
