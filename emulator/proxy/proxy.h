// Public header of the fault-injecting TCP proxy.

#ifndef EMULATOR_PROXY_PROXY_H_
#define EMULATOR_PROXY_PROXY_H_

#include "emulator/proxy/fault_proxy.h"
#include "emulator/proxy/proxy_control.h"
#include "emulator/proxy/proxy_faults.h"

#endif  // EMULATOR_PROXY_PROXY_H_
