// Public header of the library behind filbertshiftctl.

#ifndef SRC_CTL_CTL_H_
#define SRC_CTL_CTL_H_

#include "src/ctl/commands.h"
#include "src/ctl/operator_client.h"
#include "src/ctl/timeline.h"

#endif  // SRC_CTL_CTL_H_
