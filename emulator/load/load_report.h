// Results of a run of the load generator.

#ifndef EMULATOR_LOAD_LOAD_REPORT_H_
#define EMULATOR_LOAD_LOAD_REPORT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "emulator/http/http.h"

namespace filbertshift::emulator {

// Result of one request.
struct LoadRecord {
  std::uint64_t number = 0;
  std::string class_name;
  std::string idempotency_key;
  bool repeated = false;
  // From the response headers.
  std::string request_id;
  std::string version;
  int http_status = 0;
  std::string code;
  std::string run;
  std::string prompt_hash;
  std::int64_t intended_ms = 0;
  std::int64_t end_ms = 0;
  std::size_t tokens = 0;
  std::size_t bad_tokens = 0;
  // Hash of the response body of a service, to compare replayed responses.
  std::string body_hash;
  // Measured from the intended send time; zero if no token arrived.
  std::chrono::duration<double, std::milli> first_token{0};
  std::chrono::duration<double, std::milli> total{0};
  std::vector<double> token_gaps_ms;
};

class LoadReport {
 public:
  explicit LoadReport(std::uint64_t seed) : seed_(seed) {}

  void Add(const LoadRecord& record);

  std::size_t failed() const { return count_ - ok_; }
  // Human-readable summary.
  std::string Text() const;
  Json ToJson() const;

 private:
  struct ClassResults {
    std::size_t count = 0;
    std::size_t ok = 0;
    std::vector<double> first_token_ms;
    std::vector<double> gap_ms;
    std::vector<double> total_ms;
  };

  const std::uint64_t seed_;
  std::size_t count_ = 0;
  std::size_t ok_ = 0;
  std::size_t tokens_ = 0;
  std::size_t bad_quality_ = 0;
  std::map<std::string, std::size_t> failures_;
  std::map<std::string, ClassResults> classes_;
};

// Returns one line of the record file.
Json RecordJson(const LoadRecord& record);

// Nearest-rank percentile, with `fraction` from 0 to 1; 0 without values.
double Percentile(const std::vector<double>& sorted, double fraction);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_LOAD_LOAD_REPORT_H_
