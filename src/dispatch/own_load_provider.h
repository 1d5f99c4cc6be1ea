// Port to the load that this instance itself puts on endpoints.

#ifndef SRC_DISPATCH_OWN_LOAD_PROVIDER_H_
#define SRC_DISPATCH_OWN_LOAD_PROVIDER_H_

#include "src/dispatch/endpoint_load_table.h"

namespace filbertshift {

class OwnLoadProvider {
 public:
  virtual ~OwnLoadProvider() = default;
  // Not const: counts that have become too old are forgotten.
  virtual LoadReport OwnLoad() = 0;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_OWN_LOAD_PROVIDER_H_
