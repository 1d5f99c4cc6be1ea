#include "emulator/http/task_scheduler.h"

#include <utility>

namespace filbertshift::emulator {

TaskScheduler::TaskScheduler() : thread_([this] { Run(); }) {}

TaskScheduler::~TaskScheduler() {
  Stop();
}

void TaskScheduler::At(SteadyTime due, std::function<void()> task) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (stopped_) {
    return;
  }
  tasks_.emplace(due, std::move(task));
  tasks_changed_.notify_one();
}

void TaskScheduler::After(std::chrono::microseconds delay,
                          std::function<void()> task) {
  At(std::chrono::steady_clock::now() + delay, std::move(task));
}

void TaskScheduler::Stop() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
    tasks_.clear();
    tasks_changed_.notify_one();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void TaskScheduler::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopped_) {
    if (tasks_.empty()) {
      tasks_changed_.wait(lock);
      continue;
    }
    const auto first = tasks_.begin();
    const SteadyTime due = first->first;
    if (due > std::chrono::steady_clock::now()) {
      tasks_changed_.wait_until(lock, due);
      continue;
    }
    const std::function<void()> task = std::move(first->second);
    tasks_.erase(first);
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace filbertshift::emulator
