// The setting log_severity, the minimum severity of logged events, which all
// daemons share.

#ifndef SRC_CONFIG_SEVERITY_FIELD_H_
#define SRC_CONFIG_SEVERITY_FIELD_H_

#include <string>
#include <vector>

#include "src/common/common.h"
#include "src/config/field_types.h"

namespace filbertshift {

template <class T>
Field<T> SeverityField(Severity T::*member, std::string meaning) {
  return EnumField(
      "log_severity", member, Presence::kOptional,
      std::vector<EnumValue<Severity>>{{"debug", Severity::kDebug},
                                       {"info", Severity::kInfo},
                                       {"warning", Severity::kWarning},
                                       {"error", Severity::kError}},
      std::move(meaning));
}

}  // namespace filbertshift

#endif  // SRC_CONFIG_SEVERITY_FIELD_H_
