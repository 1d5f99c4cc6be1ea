// Public header of the deterministic answers of emulated engines.

#ifndef EMULATOR_TOKENS_TOKENS_H_
#define EMULATOR_TOKENS_TOKENS_H_

#include "emulator/tokens/answer.h"
#include "emulator/tokens/chat_request.h"

#endif  // EMULATOR_TOKENS_TOKENS_H_
