// Reads the JSON body of a control request and rejects unknown keys, so that a
// misspelt fault in a test is an error and not a fault that never happens.

#ifndef EMULATOR_HTTP_CONTROL_READER_H_
#define EMULATOR_HTTP_CONTROL_READER_H_

#include <chrono>
#include <set>
#include <stdexcept>
#include <string>

#include "emulator/http/http_message.h"

namespace filbertshift::emulator {

// The body of a control request cannot be used.
class ControlError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class ControlReader {
 public:
  // Throws ControlError unless `body` is a JSON object.
  explicit ControlReader(const std::string& body);

  // Sets `out` if the key is present. Throws ControlError on a wrong type.
  template <class T>
  bool Read(const std::string& key, T* out) {
    known_.insert(key);
    const auto found = json_.find(key);
    if (found == json_.end()) {
      return false;
    }
    try {
      *out = found->get<T>();
    } catch (const Json::exception& error) {
      throw ControlError(key + ": " + error.what());
    }
    return true;
  }
  // The value of the key counts milliseconds.
  bool ReadDuration(const std::string& key, std::chrono::milliseconds* out);

  // Throws ControlError if the body has a key that was never read.
  void Finish() const;

 private:
  Json json_;
  std::set<std::string> known_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_HTTP_CONTROL_READER_H_
