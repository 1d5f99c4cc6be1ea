// Settings of the load generator.

#ifndef EMULATOR_LOAD_LOAD_SETTINGS_H_
#define EMULATOR_LOAD_LOAD_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "emulator/http/http.h"

namespace filbertshift::emulator {

// The settings cannot be used.
class LoadSettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Both ends are included.
struct TokenRange {
  std::size_t least = 0;
  std::size_t most = 0;
};

enum class RequestKind { kChat, kService };

// A kind of request with its share of all requests.
struct RequestClass {
  std::string name;
  RequestKind kind = RequestKind::kChat;
  // Relative to the sum of the shares of all classes.
  double share = 1;
  // Chat.
  std::string model;
  bool stream = true;
  TokenRange prompt_tokens{50, 200};
  // Leading prompt tokens that all requests of the class share.
  std::size_t shared_prefix_tokens = 0;
  TokenRange answer_tokens{20, 100};
  // Service.
  std::string method = "POST";
  std::string path;
  // Both. Empty strings and zeros send no header.
  std::string quality_class;
  std::size_t sessions = 0;
  std::chrono::milliseconds deadline{0};
  bool idempotency_keys = false;
  // Share of requests that repeat an earlier one with the same key and body.
  double repeat_share = 0;
};

enum class Arrival { kPoisson, kFixed };

struct LoadSettings {
  // Loopback addresses; requests are spread over them evenly.
  std::vector<ListenAddress> targets;
  // Requests per second.
  double rate = 1;
  std::chrono::milliseconds duration{10'000};
  // If not 0, the run ends after this number of requests instead.
  std::size_t request_count = 0;
  Arrival arrival = Arrival::kPoisson;
  std::uint64_t seed = 1;
  std::vector<RequestClass> classes;
  std::vector<std::string> api_keys;
  // Requests beyond this number in flight are not sent and count as failed.
  std::size_t max_in_flight = 2000;
  std::chrono::milliseconds timeout{60'000};
  // Measures an engine itself. Its version is not in the answer, so that it
  // has to be known.
  bool direct = false;
  std::string direct_version;
};

// Reads {"classes":[...],"api_keys":[...]} into `settings`. Keys of a class as
// the members of RequestClass, with kind "chat" or "service", ranges as
// [least, most] and deadline_ms. Throws LoadSettingsError or ControlError.
void ReadLoadPlan(const Json& json, LoadSettings* settings);

// Throws LoadSettingsError.
void CheckLoadSettings(const LoadSettings& settings);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_LOAD_LOAD_SETTINGS_H_
