// Public header of the emulated rating service.

#ifndef EMULATOR_RATING_RATING_H_
#define EMULATOR_RATING_RATING_H_

#include "emulator/rating/rating_service.h"
#include "emulator/rating/score_table.h"

#endif  // EMULATOR_RATING_RATING_H_
