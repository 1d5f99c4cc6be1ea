// The sequence of requests of a run, a function of the settings and the seed.

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
  // From 1.
  std::uint64_t number = 0;
  // Since the start of the run. Latency counts from here, so that a slow
  // target cannot hide behind requests that were sent late.
  std::chrono::microseconds send_time{0};
  // Index in the settings.
  std::size_t request_class = 0;
  std::size_t target = 0;
  std::string method;
  std::string path;
  std::vector<HttpField> headers;
  std::string body;
  std::string idempotency_key;
  // True if an earlier request had the same key and body.
  bool repeated = false;
  // Chat only.
  bool stream = false;
  std::string model;
  std::string prompt;
  std::size_t answer_tokens = 0;
};

class LoadPlan {
 public:
  explicit LoadPlan(LoadSettings settings);

  // In order of send_time; nothing after the end of the run.
  std::optional<PlannedRequest> Next();

 private:
  void FillChat(const RequestClass& request_class, PlannedRequest* request);
  void FillService(PlannedRequest* request);
  void FillHeaders(const RequestClass& request_class, PlannedRequest* request);
  std::string RandomText(std::size_t tokens);
  std::size_t Draw(TokenRange range);
  bool DrawRepeat(const RequestClass& request_class, PlannedRequest* request);

  const LoadSettings settings_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> class_distribution_;
  std::uint64_t count_ = 0;
  std::chrono::duration<double> time_{0};
  // Requests with keys for repetition, by class.
  std::map<std::size_t, std::deque<PlannedRequest>> recent_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_LOAD_LOAD_PLAN_H_
