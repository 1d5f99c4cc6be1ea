// Which model of a route answers a request, and when its answer is dropped for
// one of a larger model.

#ifndef SRC_DISPATCH_MODEL_CHOICE_H_
#define SRC_DISPATCH_MODEL_CHOICE_H_

#include <optional>

#include "src/fleet/fleet_documents.h"

namespace filbertshift {

// The model that a request starts on. `models` must not be empty.
ModelId FirstModel(const Route& route);

// The model that answers instead of `current`, given the confidence (0 to 100)
// with which it began its answer; empty if the answer stands.
std::optional<ModelId> LargerModel(const Route& route,
                                   const ModelId& current,
                                   int confidence);

}  // namespace filbertshift

#endif  // SRC_DISPATCH_MODEL_CHOICE_H_
