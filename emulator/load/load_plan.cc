#include "emulator/load/load_plan.h"

#include <fmt/format.h>

#include <utility>

#include "emulator/tokens/tokens.h"

namespace filbertshift::emulator {

namespace {

// Candidates for repetition per class.
constexpr std::size_t kMaxRepeatable = 50;

std::vector<double> ClassShares(const LoadSettings& settings) {
  std::vector<double> shares;
  for (const RequestClass& entry : settings.classes) {
    shares.push_back(entry.share);
  }
  return shares;
}

}  // namespace

LoadPlan::LoadPlan(LoadSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed) {
  const std::vector<double> shares = ClassShares(settings_);
  class_distribution_ =
      std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
}

std::optional<PlannedRequest> LoadPlan::Next() {
  const double interval =
      settings_.arrival == Arrival::kPoisson
          ? std::exponential_distribution<double>(settings_.rate)(random_)
          : 1 / settings_.rate;
  // With fixed arrivals, the first request is sent immediately.
  if (count_ > 0 || settings_.arrival == Arrival::kPoisson) {
    time_ += std::chrono::duration<double>(interval);
  }
  const bool ended = settings_.request_count > 0
                         ? count_ >= settings_.request_count
                         : time_ >= settings_.duration;
  if (ended) {
    return std::nullopt;
  }
  PlannedRequest request;
  request.request_class = class_distribution_(random_);
  const RequestClass& entry = settings_.classes[request.request_class];
  if (!DrawRepeat(entry, &request)) {
    request.number = count_ + 1;
    if (entry.kind == RequestKind::kChat) {
      FillChat(entry, &request);
    } else {
      FillService(&request);
      request.method = entry.method;
      request.path = entry.path;
    }
    FillHeaders(entry, &request);
  }
  request.number = ++count_;
  request.send_time =
      std::chrono::duration_cast<std::chrono::microseconds>(time_);
  request.target = std::uniform_int_distribution<std::size_t>(
      0, settings_.targets.size() - 1)(random_);
  return request;
}

void LoadPlan::FillChat(const RequestClass& request_class,
                        PlannedRequest* request) {
  const std::string shared(
      request_class.shared_prefix_tokens * 4,
      static_cast<char>('a' + request->request_class % 26));
  const std::string content =
      fmt::format("{}{}-{} {}", shared, settings_.seed, request->number,
                  RandomText(DrawTokenCount(request_class.prompt_tokens)));
  request->method = "POST";
  request->path = "/v1/chat/completions";
  request->stream = request_class.stream;
  request->model = request_class.model;
  request->prompt = UserPrompt(content);
  request->answer_tokens = DrawTokenCount(request_class.answer_tokens);
  const Json message{{"role", "user"}, {"content", content}};
  request->body = Json{{"model", request_class.model},
                       {"stream", request_class.stream},
                       {"max_tokens", request->answer_tokens},
                       {"messages", Json::array({message})}}
                      .dump();
}

void LoadPlan::FillService(PlannedRequest* request) {
  request->body =
      Json{{"run", settings_.seed}, {"number", request->number}}.dump();
}

void LoadPlan::FillHeaders(const RequestClass& request_class,
                           PlannedRequest* request) {
  std::vector<HttpField>& headers = request->headers;
  headers.push_back({"Content-Type", "application/json"});
  if (!settings_.api_keys.empty()) {
    const std::size_t key = std::uniform_int_distribution<std::size_t>(
        0, settings_.api_keys.size() - 1)(random_);
    headers.push_back({"Authorization", "Bearer " + settings_.api_keys[key]});
  }
  if (request_class.idempotency_keys) {
    request->idempotency_key =
        fmt::format("load-{}-{}", settings_.seed, request->number);
    headers.push_back({"Idempotency-Key", request->idempotency_key});
  }
  if (request_class.sessions > 0) {
    const std::size_t session = std::uniform_int_distribution<std::size_t>(
        1, request_class.sessions)(random_);
    headers.push_back(
        {"X-Session-Id",
         fmt::format("{}-{}-{}", request_class.name, settings_.seed, session)});
  }
  if (!request_class.quality_class.empty()) {
    headers.push_back({"X-Quality-Class", request_class.quality_class});
  }
  if (request_class.deadline.count() > 0) {
    headers.push_back(
        {"X-Deadline-Ms", std::to_string(request_class.deadline.count())});
  }
  if (request_class.repeat_share > 0 && request_class.idempotency_keys) {
    std::deque<PlannedRequest>& repeatable =
        repeatable_[request->request_class];
    repeatable.push_back(*request);
    if (repeatable.size() > kMaxRepeatable) {
      repeatable.pop_front();
    }
  }
}

std::string LoadPlan::RandomText(std::size_t tokens) {
  std::string text;
  text.reserve(tokens * 4);
  for (std::size_t i = 0; i < tokens; ++i) {
    text += fmt::format("{:03x} ", random_() & 0xfff);
  }
  return text;
}

std::size_t LoadPlan::DrawTokenCount(TokenRange range) {
  return std::uniform_int_distribution<std::size_t>(range.min,
                                                    range.max)(random_);
}

bool LoadPlan::DrawRepeat(const RequestClass& request_class,
                          PlannedRequest* request) {
  const std::deque<PlannedRequest>& repeatable =
      repeatable_[request->request_class];
  if (request_class.repeat_share <= 0 || repeatable.empty() ||
      !std::bernoulli_distribution(request_class.repeat_share)(random_)) {
    return false;
  }
  *request = repeatable[std::uniform_int_distribution<std::size_t>(
      0, repeatable.size() - 1)(random_)];
  request->repeated = true;
  return true;
}

}  // namespace filbertshift::emulator
