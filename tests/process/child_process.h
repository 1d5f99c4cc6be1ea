// Runs a program under test as a child process.

#ifndef TESTS_PROCESS_CHILD_PROCESS_H_
#define TESTS_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertshift {

// Redirects standard output and standard error to files in `folder`.
class ChildProcess {
 public:
  // Throws std::runtime_error if the program cannot be started.
  ChildProcess(const std::string& name,
               const std::string& folder,
               const std::vector<std::string>& command);
  // Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Sends SIGKILL and waits for the process to end.
  void Kill();
  // Sends SIGTERM.
  void Terminate();
  // Send SIGSTOP and SIGCONT. They have no effect on a process that has ended,
  // because its id may have been reused.
  void Freeze();
  void Resume();
  // Returns the exit status, or nullopt if the process still runs after
  // `timeout`. For a process ended by a signal it is 128 plus the signal
  // number.
  std::optional<int> WaitExit(std::chrono::milliseconds timeout);

  // Waits for a line "<label> IP:PORT" on standard output and returns the
  // address. Throws std::runtime_error after `timeout`.
  std::string WaitAddress(const std::string& label,
                          std::chrono::milliseconds timeout);

  pid_t pid() const { return pid_; }
  // Most memory that the process has had resident; 0 if it has ended.
  std::int64_t PeakMemoryKb() const;
  std::string Output() const;
  std::string ErrorOutput() const;
  const std::string& error_file() const { return error_file_; }

 private:
  const std::string name_;
  const std::string output_file_;
  const std::string error_file_;
  pid_t pid_ = -1;
  std::optional<int> exit_status_;
};

// Returns a TCP port that was free on the loopback interface when it was
// checked.
int FreePort();

}  // namespace filbertshift

#endif  // TESTS_PROCESS_CHILD_PROCESS_H_
