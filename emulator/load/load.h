// Public header of the load generator.

#ifndef EMULATOR_LOAD_LOAD_H_
#define EMULATOR_LOAD_LOAD_H_

#include "emulator/load/answer_check.h"
#include "emulator/load/load_plan.h"
#include "emulator/load/load_report.h"
#include "emulator/load/load_runner.h"
#include "emulator/load/load_settings.h"

#endif  // EMULATOR_LOAD_LOAD_H_
