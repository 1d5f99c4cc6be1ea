// Public header of the emulated object store.

#ifndef EMULATOR_OBJECTS_OBJECTS_H_
#define EMULATOR_OBJECTS_OBJECTS_H_

#include "emulator/objects/object_service.h"

#endif  // EMULATOR_OBJECTS_OBJECTS_H_
