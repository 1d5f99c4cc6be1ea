// The setting for the least severity of logged events, the same in the settings
// of every daemon.

#ifndef SRC_CONFIG_SEVERITY_FIELD_H_
#define SRC_CONFIG_SEVERITY_FIELD_H_

#include <string>
#include <vector>

#include "src/common/common.h"
#include "src/config/field_types.h"

namespace filbertshift {

template <class T>
Field<T> SeverityField(Severity T::*member, std::string meaning) {
  return NamedValueField(
      "log_severity", member, Need::kOptional,
      std::vector<NamedValue<Severity>>{{"debug", Severity::kDebug},
                                        {"info", Severity::kInfo},
                                        {"warning", Severity::kWarning},
                                        {"error", Severity::kError}},
      std::move(meaning));
}

}  // namespace filbertshift

#endif  // SRC_CONFIG_SEVERITY_FIELD_H_
