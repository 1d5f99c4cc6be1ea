// Port between the core and the rating service.

#ifndef SRC_PORTS_RATING_PORT_H_
#define SRC_PORTS_RATING_PORT_H_

#include <string>

#include "src/common/common.h"

namespace filbertshift {

struct RatingQuery {
  RequestId request;
  ModelId model;
  VersionId version;
  std::string quality_class;
  std::string prompt;
  std::string answer;
};

struct RatingReply {
  OperationId operation{};
  bool ok = false;
  // From 0 (useless) to 1 (perfect).
  double score = 0;
};

// Methods are called by the core thread and do not block. They return false if
// the queue is full; otherwise a RatingReply follows.
class RatingPort {
 public:
  virtual ~RatingPort() = default;
  virtual bool Rate(OperationId operation, RatingQuery query) = 0;
};

}  // namespace filbertshift

#endif  // SRC_PORTS_RATING_PORT_H_
