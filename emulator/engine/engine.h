// Public header of the emulated inference engine.

#ifndef EMULATOR_ENGINE_ENGINE_H_
#define EMULATOR_ENGINE_ENGINE_H_

#include "emulator/engine/batch_model.h"
#include "emulator/engine/engine_faults.h"
#include "emulator/engine/engine_history.h"
#include "emulator/engine/engine_service.h"
#include "emulator/engine/engine_settings.h"
#include "emulator/engine/prefix_cache.h"

#endif  // EMULATOR_ENGINE_ENGINE_H_
