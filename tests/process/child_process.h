// A program under test as a child process of the test.

#ifndef TESTS_PROCESS_CHILD_PROCESS_H_
#define TESTS_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace filbertshift {

// Standard output and standard error go to files in the test's folder.
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

  // Ends the process at once (SIGKILL) and waits for it.
  void Kill();
  // Sends SIGTERM.
  void Terminate();
  // SIGSTOP and SIGCONT. Without effect on a process that has ended, because
  // its id may belong to another process by now.
  void Freeze();
  void Resume();
  // The exit status, or nothing if the process still runs after `timeout`. A
  // process that was ended by a signal has 128 plus its number.
  std::optional<int> WaitExit(std::chrono::milliseconds timeout);

  // Waits for a line "<label> IP:PORT" on standard output and returns the
  // address. Throws std::runtime_error after `timeout`.
  std::string WaitAddress(const std::string& label,
                          std::chrono::milliseconds timeout);

  pid_t pid() const { return pid_; }
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

// A TCP port of the loopback interface that was free a moment ago.
int FreePort();

}  // namespace filbertshift

#endif  // TESTS_PROCESS_CHILD_PROCESS_H_
