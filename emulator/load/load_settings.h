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

// Thrown for invalid settings.
class LoadSettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Inclusive range.
struct TokenRange {
  std::size_t min = 0;
  std::size_t max = 0;
};

enum class RequestKind { kChat, kService };

// A class of similar requests and its share of the load.
struct RequestClass {
  std::string name;
  RequestKind kind = RequestKind::kChat;
  // Relative to the sum of the shares of all classes.
  double share = 1;
  // For chat requests.
  std::string model;
  bool stream = true;
  TokenRange prompt_tokens{50, 200};
  // Number of leading prompt tokens common to all requests of the class.
  std::size_t shared_prefix_tokens = 0;
  TokenRange answer_tokens{20, 100};
  // For service requests.
  std::string method = "POST";
  std::string path;
  // For both kinds. An empty string or zero omits the header.
  std::string quality_class;
  std::size_t sessions = 0;
  std::chrono::milliseconds deadline{0};
  bool idempotency_keys = false;
  // Fraction of requests that repeat an earlier one with the same key and body.
  double repeat_share = 0;
};

enum class Arrival { kPoisson, kFixed };

struct LoadSettings {
  // Loopback addresses. The target of each request is drawn uniformly.
  std::vector<ListenAddress> targets;
  // Requests per second.
  double rate = 1;
  std::chrono::milliseconds duration{10'000};
  // If not 0, replaces `duration` as the end of the run.
  std::size_t request_count = 0;
  Arrival arrival = Arrival::kPoisson;
  std::uint64_t seed = 1;
  std::vector<RequestClass> classes;
  std::vector<std::string> api_keys;
  // Requests due while this many are in flight are not sent and count as
  // failed.
  std::size_t max_in_flight = 2000;
  std::chrono::milliseconds timeout{60'000};
  // The target is an engine rather than the router. Responses of engines carry
  // no version, so direct_version is required.
  bool direct = false;
  std::string direct_version;
};

// Reads {"classes":[...],"api_keys":[...]} into `settings`. The keys of a class
// are the members of RequestClass, with kind "chat" or "service", ranges as
// [min, max] and the deadline as deadline_ms. Throws LoadSettingsError or
// ControlError.
void ReadLoadPlan(const Json& json, LoadSettings* settings);

// Throws LoadSettingsError.
void CheckLoadSettings(const LoadSettings& settings);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_LOAD_LOAD_SETTINGS_H_
