// Public header of the emulated plain service.

#ifndef EMULATOR_SERVICE_SERVICE_H_
#define EMULATOR_SERVICE_SERVICE_H_

#include "emulator/service/execution_log.h"
#include "emulator/service/plain_service.h"

#endif  // EMULATOR_SERVICE_SERVICE_H_
