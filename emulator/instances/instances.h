// Public header of the emulated instance list.

#ifndef EMULATOR_INSTANCES_INSTANCES_H_
#define EMULATOR_INSTANCES_INSTANCES_H_

#include "emulator/instances/instance_list_service.h"
#include "emulator/instances/lagged_list.h"

#endif  // EMULATOR_INSTANCES_INSTANCES_H_
