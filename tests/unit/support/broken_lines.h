// Lines that no valid HTTP/1.1 response has, without line breaks.

#ifndef TESTS_UNIT_SUPPORT_BROKEN_LINES_H_
#define TESTS_UNIT_SUPPORT_BROKEN_LINES_H_

#include <string>
#include <vector>

namespace filbertshift {

const std::vector<std::string>& BrokenStatusLines();

}  // namespace filbertshift

#endif  // TESTS_UNIT_SUPPORT_BROKEN_LINES_H_
