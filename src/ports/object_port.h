// Port between the ledgers and the object store.

#ifndef SRC_PORTS_OBJECT_PORT_H_
#define SRC_PORTS_OBJECT_PORT_H_

#include <string>

#include "src/common/common.h"

namespace filbertshift {

enum class ObjectOutcome { kOk, kMissing, kUnavailable };

struct ObjectReply {
  OperationId operation{};
  ObjectOutcome outcome = ObjectOutcome::kUnavailable;
  std::string bytes;
  std::string detail;
};

// Methods are called by the core thread and do not block. They return false if
// the queue is full; otherwise an ObjectReply follows.
class ObjectPort {
 public:
  virtual ~ObjectPort() = default;
  virtual bool Put(OperationId operation,
                   std::string name,
                   std::string bytes) = 0;
  virtual bool Get(OperationId operation, std::string name) = 0;
  virtual bool Remove(OperationId operation, std::string name) = 0;
};

}  // namespace filbertshift

#endif  // SRC_PORTS_OBJECT_PORT_H_
