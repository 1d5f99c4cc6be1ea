// Seed for randomised tests.

#ifndef TESTS_UNIT_SUPPORT_TEST_SEED_H_
#define TESTS_UNIT_SUPPORT_TEST_SEED_H_

#include <cstdint>
#include <cstdlib>

#include "src/common/common.h"

namespace filbertshift {

// Returns the value of the environment variable FILBERTSHIFT_TEST_SEED, or a
// new random seed. Tests print the seed on failure; setting the variable to it
// repeats the run.
inline std::uint64_t TestSeed() {
  const char* text = std::getenv("FILBERTSHIFT_TEST_SEED");
  const std::uint64_t given =
      text == nullptr ? 0 : std::strtoull(text, nullptr, 10);
  return given != 0 ? given : SystemRandom(0).seed();
}

}  // namespace filbertshift

#endif  // TESTS_UNIT_SUPPORT_TEST_SEED_H_
