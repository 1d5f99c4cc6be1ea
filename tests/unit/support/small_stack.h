// Runs code on a thread with little stack, so that unbounded recursion ends the
// test process.

#ifndef TESTS_UNIT_SUPPORT_SMALL_STACK_H_
#define TESTS_UNIT_SUPPORT_SMALL_STACK_H_

#include <functional>

namespace filbertshift {

// Runs `action` on a thread with 256 KB of stack and waits for its end.
void RunOnSmallStack(std::function<void()> action);

}  // namespace filbertshift

#endif  // TESTS_UNIT_SUPPORT_SMALL_STACK_H_
