// Public header of the emulated table service.

#ifndef EMULATOR_TABLE_TABLE_H_
#define EMULATOR_TABLE_TABLE_H_

#include "emulator/table/table_condition.h"
#include "emulator/table/table_service.h"
#include "emulator/table/table_store.h"

#endif  // EMULATOR_TABLE_TABLE_H_
