// Public header of the HTTP library shared by all emulated services.

#ifndef EMULATOR_HTTP_HTTP_H_
#define EMULATOR_HTTP_HTTP_H_

#include "emulator/http/control_reader.h"
#include "emulator/http/emulated_service.h"
#include "emulator/http/fault_injector.h"
#include "emulator/http/faulty_service.h"
#include "emulator/http/http_message.h"
#include "emulator/http/http_server.h"
#include "emulator/http/listen_address.h"
#include "emulator/http/task_scheduler.h"

#endif  // EMULATOR_HTTP_HTTP_H_
