// Parses the JSON body of a control request. Unknown keys are rejected, so that
// a misspelt fault fails the test instead of being silently ignored.

#ifndef EMULATOR_HTTP_CONTROL_READER_H_
#define EMULATOR_HTTP_CONTROL_READER_H_

#include <chrono>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "emulator/http/http_message.h"

namespace filbertshift::emulator {

// Thrown when the body of a control request is invalid.
class ControlError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class ControlReader {
 public:
  // Throws ControlError unless `body` is a JSON object.
  explicit ControlReader(const std::string& body);

  // Stores the value of `key` in `out` and returns true if the key is present.
  // Throws ControlError if the value has the wrong type.
  template <class T>
  bool Read(const std::string& key, T* out) {
    read_keys_.insert(key);
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
  // Reads a non-negative number of milliseconds.
  bool ReadDuration(const std::string& key, std::chrono::milliseconds* out);

  // Reads an object of header fields.
  bool ReadFields(const std::string& key, std::vector<HttpField>* out);

  // Throws ControlError if the body contains a key that was not read.
  void Finish() const;

 private:
  Json json_;
  std::set<std::string> read_keys_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_HTTP_CONTROL_READER_H_
