#include "emulator/engine/engine_faults.h"

namespace filbertshift::emulator {

void EngineFaults::Apply(ControlReader* control) {
  EngineFaults changed = *this;
  control->Read("crash", &changed.crash);
  control->Read("silent_restart", &changed.silent_restart);
  control->Read("hang", &changed.hang);
  control->Read("slow", &changed.slow);
  control->Read("garbage", &changed.garbage);
  control->Read("wrong_request_id", &changed.wrong_request_id);
  int token_count = -1;
  if (control->Read("truncate_after", &token_count)) {
    changed.truncate_after.reset();
    if (token_count >= 0) {
      changed.truncate_after = static_cast<std::size_t>(token_count);
    }
  }
  control->Read("truncate_cut", &changed.truncate_cut);
  control->Read("refuse", &changed.refuse);
  control->Read("retry_after", &changed.retry_after);
  control->ReadFields("headers", &changed.headers);
  control->Read("bad_quality", &changed.bad_quality);
  control->Finish();
  if (changed.slow <= 0) {
    throw ControlError("slow: must be greater than 0");
  }
  *this = changed;
}

bool ConsumeFault(int* remaining) {
  if (*remaining == 0) {
    return false;
  }
  if (*remaining > 0) {
    --*remaining;
  }
  return true;
}

}  // namespace filbertshift::emulator
