// Generates the requests of a run deterministically from the settings and the
// seed.

#ifndef EMULATOR_LOAD_LOAD_PLAN_H_
#define EMULATOR_LOAD_LOAD_PLAN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "emulator/http/http.h"
#include "emulator/load/load_settings.h"

namespace filbertshift::emulator {

struct PlannedRequest {
  // Starts at 1.
  std::uint64_t number = 0;
  // Offset from the start of the run. Latency is measured from this time rather
  // than from the actual send to avoid coordinated omission.
  std::chrono::microseconds send_time{0};
  // Indices into LoadSettings::classes and LoadSettings::targets.
  std::size_t request_class = 0;
  std::size_t target = 0;
  std::string method;
  std::string path;
  std::vector<HttpField> headers;
  std::string body;
  std::string idempotency_key;
  // Repeats the key and body of an earlier request.
  bool repeated = false;
  // The fields below are set for chat requests only.
  bool stream = false;
  std::string model;
  std::string prompt;
  std::size_t answer_tokens = 0;
};

class LoadPlan {
 public:
  explicit LoadPlan(LoadSettings settings);

  // Returns the requests in order of send_time, then nullopt.
  std::optional<PlannedRequest> Next();

 private:
  void FillChat(const RequestClass& request_class, PlannedRequest* request);
  void FillService(PlannedRequest* request);
  void FillHeaders(const RequestClass& request_class, PlannedRequest* request);
  std::string RandomText(std::size_t tokens);
  std::size_t DrawTokenCount(TokenRange range);
  // Decides whether to repeat a recent request of the class and copies it to
  // `request` if so.
  bool DrawRepeat(const RequestClass& request_class, PlannedRequest* request);

  const LoadSettings settings_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> class_distribution_;
  std::uint64_t count_ = 0;
  std::chrono::duration<double> time_{0};
  // Recent requests with idempotency keys that may be repeated, by class index,
  // oldest first.
  std::map<std::size_t, std::deque<PlannedRequest>> repeatable_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_LOAD_LOAD_PLAN_H_
