#include "emulator/http/control_reader.h"

#include <cstdint>

namespace filbertshift::emulator {

ControlReader::ControlReader(const std::string& body) {
  json_ = Json::parse(body, nullptr, false);
  if (!json_.is_object()) {
    throw ControlError("the body is not a JSON object");
  }
}

bool ControlReader::ReadDuration(const std::string& key,
                                 std::chrono::milliseconds* out) {
  std::int64_t count = 0;
  if (!Read(key, &count)) {
    return false;
  }
  if (count < 0) {
    throw ControlError(key + ": must not be negative");
  }
  *out = std::chrono::milliseconds(count);
  return true;
}

void ControlReader::Finish() const {
  for (const auto& entry : json_.items()) {
    if (read_keys_.count(entry.key()) == 0) {
      throw ControlError("unknown key " + entry.key());
    }
  }
}

}  // namespace filbertshift::emulator
