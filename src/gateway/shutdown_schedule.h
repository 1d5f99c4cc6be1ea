// When an instance that is told to stop takes which step. Answers a planned
// stop under load: what cannot be finished before the process is killed must be
// refused while it has not run, and nothing may end without an answer.

#ifndef SRC_GATEWAY_SHUTDOWN_SCHEDULE_H_
#define SRC_GATEWAY_SHUTDOWN_SCHEDULE_H_

#include <chrono>

namespace filbertshift {

// Times after the signal, in the order of the fields.
struct ShutdownSchedule {
  // Idle connections are closed from here on. New connections arrive until
  // then: readiness checks run once a second, and two failures take the
  // instance out of service.
  std::chrono::milliseconds close_idle{0};
  // Requests that have not run are refused from here on.
  std::chrono::milliseconds refuse{0};
  // The process does not exit before, so that late requests are still refused.
  std::chrono::milliseconds earliest_exit{0};
  // Requests still in progress are answered with an error.
  std::chrono::milliseconds end_requests{0};
  // The process exits.
  std::chrono::milliseconds exit{0};
};

// `grace`: time from the signal until the process is killed.
ShutdownSchedule MakeShutdownSchedule(std::chrono::milliseconds grace);

}  // namespace filbertshift

#endif  // SRC_GATEWAY_SHUTDOWN_SCHEDULE_H_
