// Sends the planned requests with libcurl in an open loop: send times do not
// depend on responses.

#ifndef EMULATOR_LOAD_LOAD_RUNNER_H_
#define EMULATOR_LOAD_LOAD_RUNNER_H_

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "emulator/load/answer_check.h"
#include "emulator/load/load_plan.h"
#include "emulator/load/load_report.h"
#include "emulator/load/load_settings.h"

namespace filbertshift::emulator {

class LoadRunner {
 public:
  // `on_record` is called for every request, including those that are not sent.
  LoadRunner(const LoadSettings& settings,
             std::function<void(const LoadRecord&)> on_record);
  ~LoadRunner();
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  // Blocks until all requests have ended. Throws std::runtime_error if libcurl
  // fails.
  void Run();

 private:
  struct CurlEasyDeleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
  };
  struct CurlListDeleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
  };
  struct CurlMultiDeleter {
    void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
  };

  // A request in flight.
  struct Transfer {
    explicit Transfer(PlannedRequest planned)
        : request(std::move(planned)), check(request) {}

    const PlannedRequest request;
    AnswerCheck check;
    std::unique_ptr<CURL, CurlEasyDeleter> handle;
    std::unique_ptr<curl_slist, CurlListDeleter> headers;
    std::string request_id;
    std::string version;
    std::string service_body;
  };

  static std::size_t OnBody(char* data,
                            std::size_t size,
                            std::size_t count,
                            void* transfer);
  static std::size_t OnHeader(char* data,
                              std::size_t size,
                              std::size_t count,
                              void* transfer);

  void SendDueRequests();
  void StartTransfer(PlannedRequest request);
  void ConfigureTransfer(Transfer* transfer);
  void FinishCompletedTransfers();
  LoadRecord MakeRecord(const PlannedRequest& request) const;
  void FinishTransfer(Transfer* transfer, CURLcode result);
  std::string AnswerVersionLabel(const Transfer& transfer) const;
  int PollTimeout() const;

  const LoadSettings settings_;
  std::function<void(const LoadRecord&)> on_record_;
  LoadPlan plan_;
  std::optional<PlannedRequest> next_;
  SteadyTime start_;
  std::int64_t start_wall_ms_ = 0;
  std::unique_ptr<CURLM, CurlMultiDeleter> multi_;
  std::map<CURL*, std::unique_ptr<Transfer>> transfers_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_LOAD_LOAD_RUNNER_H_
