// Public header of the ledger library: durable state in the platform's table
// service. Runs on the core thread.

#ifndef SRC_LEDGER_LEDGER_H_
#define SRC_LEDGER_LEDGER_H_

#include "src/ledger/charge.h"
#include "src/ledger/charge_ledger.h"
#include "src/ledger/configuration_ledger.h"
#include "src/ledger/execution_ledger.h"
#include "src/ledger/job_ledger.h"
#include "src/ledger/session_ledger.h"
#include "src/ledger/table_calls.h"

#endif  // SRC_LEDGER_LEDGER_H_
