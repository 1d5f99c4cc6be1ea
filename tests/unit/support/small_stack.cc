#include "tests/unit/support/small_stack.h"

#include <pthread.h>

#include <cstddef>
#include <system_error>

namespace filbertshift {

void RunOnSmallStack(std::function<void()> action) {
  constexpr std::size_t kStackBytes = std::size_t{256} * 1024;
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kStackBytes);
  pthread_t thread{};
  auto run = [](void* data) -> void* {
    (*static_cast<std::function<void()>*>(data))();
    return nullptr;
  };
  int error = pthread_create(&thread, &attributes, run, &action);
  pthread_attr_destroy(&attributes);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), "pthread_create");
  }
  pthread_join(thread, nullptr);
}

}  // namespace filbertshift
