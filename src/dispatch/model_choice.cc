#include "src/dispatch/model_choice.h"

namespace filbertshift {

namespace {

// Confidence from which the answer of a smaller model stands.
constexpr int kMinConfidence = 55;

}  // namespace

ModelId FirstModel(const Route& route) {
  return route.models.front();
}

std::optional<ModelId> LargerModel(const Route& route,
                                   const ModelId& current,
                                   int confidence) {
  const ModelId& largest = route.models.back();
  if (current == largest || confidence >= kMinConfidence) {
    return std::nullopt;
  }
  return largest;
}

}  // namespace filbertshift
