#include "emulator/http/control_reader.h"

#include <cstdint>
#include <map>

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

bool ControlReader::ReadFields(const std::string& key,
                               std::vector<HttpField>* out) {
  std::map<std::string, std::string> fields;
  if (!Read(key, &fields)) {
    return false;
  }
  out->clear();
  for (const auto& [name, value] : fields) {
    out->push_back({name, value});
  }
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
