#include "emulator/load/load_runner.h"

#include <strings.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "emulator/tokens/tokens.h"

namespace filbertshift::emulator {

namespace {

constexpr std::chrono::milliseconds kMaxPollTimeout{1000};

// Returns the value of a header line with this name, or an empty string.
std::string HeaderValue(std::string_view line, std::string_view name) {
  if (line.size() <= name.size() || line[name.size()] != ':' ||
      strncasecmp(line.data(), name.data(), name.size()) != 0) {
    return std::string();
  }
  line.remove_prefix(name.size() + 1);
  const std::size_t begin = line.find_first_not_of(" \t");
  const std::size_t end = line.find_last_not_of(" \t\r\n");
  if (begin == std::string_view::npos || end < begin) {
    return std::string();
  }
  return std::string(line.substr(begin, end - begin + 1));
}

std::string FailureCode(CURLcode result) {
  switch (result) {
    case CURLE_COULDNT_CONNECT:
      return "connect";
    case CURLE_OPERATION_TIMEDOUT:
      return "timeout";
    default:
      return "broken";
  }
}

}  // namespace

LoadRunner::LoadRunner(const LoadSettings& settings,
                       std::function<void(const LoadRecord&)> on_record)
    : settings_(settings),
      on_record_(std::move(on_record)),
      plan_(settings),
      multi_(curl_multi_init()) {
  if (!multi_) {
    throw std::runtime_error("curl_multi_init failed");
  }
  curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS,
                    static_cast<long>(settings_.max_in_flight));
}

LoadRunner::~LoadRunner() {
  for (auto& [handle, transfer] : transfers_) {
    curl_multi_remove_handle(multi_.get(), handle);
  }
}

void LoadRunner::Run() {
  start_ = std::chrono::steady_clock::now();
  start_wall_ms_ = WallMilliseconds();
  next_ = plan_.Next();
  while (next_ || !transfers_.empty()) {
    SendDueRequests();
    int running = 0;
    if (curl_multi_perform(multi_.get(), &running) != CURLM_OK) {
      throw std::runtime_error("curl_multi_perform failed");
    }
    FinishCompletedTransfers();
    curl_multi_poll(multi_.get(), nullptr, 0, PollTimeout(), nullptr);
  }
}

void LoadRunner::SendDueRequests() {
  while (next_ &&
         start_ + next_->send_time <= std::chrono::steady_clock::now()) {
    PlannedRequest request = std::move(*next_);
    next_ = plan_.Next();
    if (transfers_.size() < settings_.max_in_flight) {
      StartTransfer(std::move(request));
      continue;
    }
    LoadRecord record = MakeRecord(request);
    record.code = "too_many_in_flight";
    on_record_(record);
  }
}

void LoadRunner::StartTransfer(PlannedRequest request) {
  auto transfer = std::make_unique<Transfer>(std::move(request));
  transfer->handle.reset(curl_easy_init());
  if (!transfer->handle) {
    throw std::runtime_error("curl_easy_init failed");
  }
  ConfigureTransfer(transfer.get());
  CURL* handle = transfer->handle.get();
  transfers_[handle] = std::move(transfer);
  curl_multi_add_handle(multi_.get(), handle);
}

void LoadRunner::ConfigureTransfer(Transfer* transfer) {
  const PlannedRequest& request = transfer->request;
  CURL* handle = transfer->handle.get();
  const std::string url =
      "http://" + FormatListenAddress(settings_.targets[request.target]) +
      request.path;
  for (const HttpField& field : request.headers) {
    const std::string line = field.name + ": " + field.value;
    transfer->headers.reset(
        curl_slist_append(transfer->headers.release(), line.c_str()));
  }
  if (settings_.direct) {
    const std::string line =
        "X-Request-Id: load-" + std::to_string(request.number);
    transfer->headers.reset(
        curl_slist_append(transfer->headers.release(), line.c_str()));
  }
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(request.body.size()));
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer->headers.get());
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(settings_.timeout.count()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &LoadRunner::OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &LoadRunner::OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, transfer);
}

std::size_t LoadRunner::OnBody(char* data,
                               std::size_t size,
                               std::size_t count,
                               void* transfer) {
  auto* self = static_cast<Transfer*>(transfer);
  const std::string_view bytes(data, size * count);
  if (self->request.prompt.empty()) {
    self->service_body.append(bytes);
  }
  self->check.OnBytes(bytes, std::chrono::steady_clock::now());
  return bytes.size();
}

std::size_t LoadRunner::OnHeader(char* data,
                                 std::size_t size,
                                 std::size_t count,
                                 void* transfer) {
  auto* self = static_cast<Transfer*>(transfer);
  const std::string_view line(data, size * count);
  const std::string request_id = HeaderValue(line, "X-Request-Id");
  if (!request_id.empty()) {
    self->request_id = request_id;
  }
  const std::string version = HeaderValue(line, "X-Model-Version");
  if (!version.empty()) {
    self->version = version;
  }
  return line.size();
}

void LoadRunner::FinishCompletedTransfers() {
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_.get(), &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    CURL* handle = message->easy_handle;
    const CURLcode result = message->data.result;
    curl_multi_remove_handle(multi_.get(), handle);
    FinishTransfer(transfers_.at(handle).get(), result);
    transfers_.erase(handle);
  }
}

LoadRecord LoadRunner::MakeRecord(const PlannedRequest& request) const {
  const SteadyTime intended = start_ + request.send_time;
  LoadRecord record;
  record.number = request.number;
  record.class_name = settings_.classes[request.request_class].name;
  record.idempotency_key = request.idempotency_key;
  record.repeated = request.repeated;
  record.intended_ms =
      start_wall_ms_ +
      std::chrono::duration_cast<std::chrono::milliseconds>(request.send_time)
          .count();
  record.end_ms = WallMilliseconds();
  record.total = std::chrono::steady_clock::now() - intended;
  if (!request.prompt.empty()) {
    record.prompt_hash = TextHash(request.prompt);
  }
  return record;
}

void LoadRunner::FinishTransfer(Transfer* transfer, CURLcode result) {
  LoadRecord record = MakeRecord(transfer->request);
  record.request_id = transfer->request_id;
  record.version = transfer->version;
  long status = 0;
  curl_easy_getinfo(transfer->handle.get(), CURLINFO_RESPONSE_CODE, &status);
  record.http_status = static_cast<int>(status);
  if (!transfer->service_body.empty()) {
    record.body_hash = TextHash(transfer->service_body);
  }
  const AnswerResult answer =
      transfer->check.Finish(record.http_status, AnswerVersionLabel(*transfer));
  record.code = result == CURLE_OK ? answer.code : FailureCode(result);
  record.run = answer.run;
  record.tokens = answer.token_times.empty() && record.code == "ok"
                      ? transfer->request.answer_tokens
                      : answer.token_times.size();
  record.bad_tokens = answer.bad_tokens;
  if (!answer.token_times.empty()) {
    record.first_token =
        answer.token_times.front() - (start_ + transfer->request.send_time);
  }
  for (std::size_t i = 1; i < answer.token_times.size(); ++i) {
    record.token_gaps_ms.push_back(
        std::chrono::duration<double, std::milli>(answer.token_times[i] -
                                                  answer.token_times[i - 1])
            .count());
  }
  on_record_(record);
}

std::string LoadRunner::AnswerVersionLabel(const Transfer& transfer) const {
  const std::string& model = transfer.request.model;
  if (settings_.direct) {
    return VersionLabel(model, settings_.direct_version);
  }
  // A header without a model name refers to the requested model.
  const bool complete = transfer.version.empty() ||
                        transfer.version.find(':') != std::string::npos;
  return complete ? transfer.version : VersionLabel(model, transfer.version);
}

// Rounded down, so that the loop polls without sleeping in the last millisecond
// before a send time: a late send would count as latency of the target.
int LoadRunner::PollTimeout() const {
  if (!next_) {
    return static_cast<int>(kMaxPollTimeout.count());
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      start_ + next_->send_time - std::chrono::steady_clock::now());
  return static_cast<int>(
      std::clamp<std::int64_t>(left.count(), 0, kMaxPollTimeout.count()));
}

}  // namespace filbertshift::emulator
