// Public header of the configuration library.

#ifndef SRC_CONFIG_CONFIG_H_
#define SRC_CONFIG_CONFIG_H_

#include "src/config/configuration.h"
#include "src/config/configuration_document.h"
#include "src/config/duration.h"
#include "src/config/findings_json.h"
#include "src/config/process_settings.h"
#include "src/config/section_editor.h"

#endif  // SRC_CONFIG_CONFIG_H_
