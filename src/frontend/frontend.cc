#include "src/frontend/frontend.h"

#include <utility>

#include "src/frontend/frontend_loop.h"

namespace filbertshift {

Frontend::Frontend(const FrontendOptions& options,
                   CoreRing& core_ring,
                   const Clock& clock,
                   EventLog& log)
    : loop_(std::make_unique<FrontendLoop>(options, core_ring, clock, log)),
      thread_([this] { loop_->Run(); }) {}

Frontend::~Frontend() {
  if (thread_.joinable()) {
    loop_->RequestStop();
    thread_.join();
  }
}

void Frontend::SendHead(CallerId caller,
                        int http_status,
                        std::vector<HttpHeader> headers,
                        bool streaming) {
  ResponseHead head;
  head.http_status = http_status;
  head.headers = std::move(headers);
  head.streaming = streaming;
  loop_->Submit(FrontendCommand{caller, std::move(head)});
}

void Frontend::SendBody(CallerId caller, std::string bytes) {
  loop_->Submit(FrontendCommand{caller, ResponseBody{std::move(bytes)}});
}

void Frontend::Finish(CallerId caller) {
  loop_->Submit(FrontendCommand{caller, ResponseEnd()});
}

void Frontend::Abort(CallerId caller) {
  loop_->Submit(FrontendCommand{caller, ResponseAbort()});
}

std::string Frontend::BoundAddress() const {
  return loop_->bound_address();
}

void Frontend::StopAccepting() {
  loop_->RequestDrain();
}

bool Frontend::HasEnded() const {
  return loop_->has_ended();
}

void Frontend::Join() {
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace filbertshift
