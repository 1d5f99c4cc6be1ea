// Documentation of a setting or of a field of the configuration document,
// generated from its declaration.

#ifndef SRC_CONFIG_FIELD_DESCRIPTION_H_
#define SRC_CONFIG_FIELD_DESCRIPTION_H_

#include <string>

namespace filbertshift {

struct FieldDescription {
  // Path within the section or file, as in "versions[].limits.warm_up".
  std::string name;
  std::string type;
  std::string unit;
  // JSON text of the default, or "required".
  std::string default_value;
  std::string range;
  std::string meaning;
};

}  // namespace filbertshift

#endif  // SRC_CONFIG_FIELD_DESCRIPTION_H_
