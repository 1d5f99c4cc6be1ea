// Runs tasks at scheduled times on a dedicated thread.

#ifndef EMULATOR_HTTP_TASK_SCHEDULER_H_
#define EMULATOR_HTTP_TASK_SCHEDULER_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace filbertshift::emulator {

using SteadyTime = std::chrono::steady_clock::time_point;

// All methods are thread-safe. Tasks run sequentially; tasks with the same due
// time run in the order in which they were added.
class TaskScheduler {
 public:
  TaskScheduler();
  ~TaskScheduler();
  TaskScheduler(const TaskScheduler&) = delete;
  TaskScheduler& operator=(const TaskScheduler&) = delete;

  void At(SteadyTime due, std::function<void()> task);
  void After(std::chrono::microseconds delay, std::function<void()> task);

  // Discards all pending tasks and joins the thread. Tasks added later are
  // discarded. Must not be called from a task.
  void Stop();

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable tasks_changed_;
  bool stopped_ = false;
  std::multimap<SteadyTime, std::function<void()>> tasks_;
  std::thread thread_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_HTTP_TASK_SCHEDULER_H_
