#include "emulator/load/load_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbertshift::emulator {

namespace {

struct Summary {
  std::size_t count = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double max = 0;
};

Summary Summarize(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return {values.size(), Percentile(values, 0.50), Percentile(values, 0.95),
          Percentile(values, 0.99), values.empty() ? 0 : values.back()};
}

std::string SummaryText(const char* name, const Summary& summary) {
  return fmt::format(
      "  {:<12} n={} p50={:.2f} p95={:.2f} p99={:.2f} max={:.2f} ms\n", name,
      summary.count, summary.p50, summary.p95, summary.p99, summary.max);
}

Json SummaryJson(const Summary& summary) {
  return Json{{"count", summary.count},
              {"p50_ms", summary.p50},
              {"p95_ms", summary.p95},
              {"p99_ms", summary.p99},
              {"max_ms", summary.max}};
}

}  // namespace

void LoadReport::Add(const LoadRecord& record) {
  ++count_;
  ClassResults& results = classes_[record.class_name];
  ++results.count;
  tokens_ += record.tokens;
  if (record.code != "ok") {
    ++failures_[record.code];
    return;
  }
  ++ok_;
  ++results.ok;
  bad_quality_ += record.bad_tokens > 0 ? 1 : 0;
  results.total_ms.push_back(record.total.count());
  if (record.first_token.count() > 0) {
    results.first_token_ms.push_back(record.first_token.count());
  }
  results.gap_ms.insert(results.gap_ms.end(), record.token_gaps_ms.begin(),
                        record.token_gaps_ms.end());
}

std::string LoadReport::Text() const {
  std::string text = fmt::format("requests {} ok {} failed {} tokens {}\n",
                                 count_, ok_, failed(), tokens_);
  if (bad_quality_ > 0) {
    text += fmt::format("answers of bad quality {}\n", bad_quality_);
  }
  for (const auto& [code, count] : failures_) {
    text += fmt::format("failure {} {}\n", code, count);
  }
  for (const auto& [name, results] : classes_) {
    text += fmt::format("class {} requests {} ok {}\n", name, results.count,
                        results.ok);
    text += SummaryText("first token", Summarize(results.first_token_ms));
    text += SummaryText("token gap", Summarize(results.gap_ms));
    text += SummaryText("whole answer", Summarize(results.total_ms));
  }
  return text;
}

Json LoadReport::ToJson() const {
  Json classes = Json::object();
  for (const auto& [name, results] : classes_) {
    classes[name] = {
        {"requests", results.count},
        {"ok", results.ok},
        {"first_token", SummaryJson(Summarize(results.first_token_ms))},
        {"token_gap", SummaryJson(Summarize(results.gap_ms))},
        {"whole_answer", SummaryJson(Summarize(results.total_ms))}};
  }
  return Json{{"seed", seed_},
              {"requests", count_},
              {"ok", ok_},
              {"failed", failed()},
              {"tokens", tokens_},
              {"bad_quality", bad_quality_},
              {"failures", failures_},
              {"classes", classes}};
}

Json RecordJson(const LoadRecord& record) {
  return Json{{"number", record.number},
              {"class", record.class_name},
              {"idempotency_key", record.idempotency_key},
              {"repeated", record.repeated},
              {"request_id", record.request_id},
              {"version", record.version},
              {"http_status", record.http_status},
              {"code", record.code},
              {"run", record.run},
              {"prompt_hash", record.prompt_hash},
              {"body_hash", record.body_hash},
              {"intended_ms", record.intended_ms},
              {"end_ms", record.end_ms},
              {"tokens", record.tokens},
              {"bad_tokens", record.bad_tokens},
              {"first_token_ms", record.first_token.count()},
              {"total_ms", record.total.count()}};
}

double Percentile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) {
    return 0;
  }
  const double rank = std::ceil(fraction * static_cast<double>(sorted.size()));
  const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

}  // namespace filbertshift::emulator
