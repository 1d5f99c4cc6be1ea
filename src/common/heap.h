// Settings of the process's heap.

#ifndef SRC_COMMON_HEAP_H_
#define SRC_COMMON_HEAP_H_

namespace filbertshift {

// Makes the memory of large buffers return to the system as soon as they are
// freed. By default, the C library keeps them in the heap once the first one
// was freed, where smaller blocks between them hold on to their memory.
void ReturnLargeBuffers();

}  // namespace filbertshift

#endif  // SRC_COMMON_HEAP_H_
