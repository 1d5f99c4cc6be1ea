#include "emulator/proxy/proxy_faults.h"

namespace filbertshift::emulator {

void ProxyFaults::Apply(ControlReader* control) {
  ProxyFaults changed = *this;
  control->ReadDuration("delay_ms", &changed.delay);
  control->Read("cut", &changed.cut);
  bool freeze = false;
  if (control->Read("freeze", &freeze)) {
    changed.freeze_to_target = freeze;
    changed.freeze_to_client = freeze;
  }
  control->Read("freeze_to_target", &changed.freeze_to_target);
  control->Read("freeze_to_client", &changed.freeze_to_client);
  control->Read("drop_replies", &changed.drop_replies);
  control->Read("half_open", &changed.half_open);
  control->Finish();
  *this = changed;
}

}  // namespace filbertshift::emulator
