// Attempts, from the verification of a connection to the outcome of the
// response, and the evaluation of probes.

#include <stdexcept>
#include <string>
#include <utility>

#include "src/endpoint/endpoint_loop.h"
#include "src/endpoint/metrics_text.h"

namespace filbertshift {

namespace {

// Maximum number of connections verified for one attempt before it fails as not
// sent. More than one can be needed, because a connection can close between its
// verification and the request.
constexpr int kMaxVerifications = 3;

constexpr int kHttpOk = 200;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpUnavailable = 503;

// Returns the time of the response by the endpoint's clock; zero if unknown.
std::chrono::milliseconds EndpointTime(const EndpointMetrics& metrics,
                                       const ResponseReader& reader) {
  if (metrics.sample_time.count() > 0) {
    return metrics.sample_time;
  }
  const std::string date = FindHeader(reader.headers(), "Date");
  const time_t seconds =
      date.empty() ? -1 : curl_getdate(date.c_str(), nullptr);
  return std::chrono::seconds(seconds < 0 ? 0 : seconds);
}

std::chrono::microseconds RoundTrip(CURL* easy) {
  curl_off_t request_start = 0;
  curl_off_t first_byte = 0;
  curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &request_start);
  curl_easy_getinfo(easy, CURLINFO_STARTTRANSFER_TIME_T, &first_byte);
  return std::chrono::microseconds(first_byte - request_start);
}

// Returns the description of this error if there is one, otherwise libcurl's
// general text for its code.
std::string ErrorText(CURLcode result, const Transfer& transfer) {
  const ResponseFault fault = transfer.reader->fault();
  if (fault != ResponseFault::kNone) {
    return std::string(DescribeFault(fault));
  }
  return transfer.error.front() != '\0' ? transfer.error.data()
                                        : curl_easy_strerror(result);
}

std::string OutcomeDetail(CURLcode result, const Transfer& transfer) {
  const ResponseReader& reader = *transfer.reader;
  if (reader.too_large()) {
    return "response is larger than the limit";
  }
  if (result != CURLE_OK) {
    return ErrorText(result, transfer);
  }
  if (!reader.has_framing()) {
    return "response has neither Content-Length nor chunked encoding";
  }
  return std::string();
}

}  // namespace

void EndpointLoop::Execute(AttemptSpec spec) {
  AttemptId id = spec.attempt;
  auto [position, inserted] = attempts_.try_emplace(id);
  if (!inserted) {
    ReleaseAttempt();
    return;
  }
  Attempt* attempt = &position->second;
  attempt->spec = std::move(spec);
  auto timeout = attempt->spec.connect_timeout;
  if (timeout.count() <= 0) {
    timeout = options_.default_connect_timeout;
  }
  attempt->connect_deadline = clock_.Now() + timeout;
  if (attempt->spec.incarnation == Incarnation()) {
    EndAttempt(attempt, AttemptOutcome::kNotSent,
               "the required incarnation is unknown");
    return;
  }
  if (!IsTcpAddress(attempt->spec.address)) {
    EndAttempt(attempt, AttemptOutcome::kNotSent,
               "the address of the endpoint is not valid");
    return;
  }
  StartSend(attempt);
}

void EndpointLoop::Execute(const CancelCommand& command) {
  auto found = attempts_.find(command.attempt);
  if (found == attempts_.end()) {
    return;
  }
  auto transfer = transfers_.find(found->second.transfer);
  if (transfer != transfers_.end()) {
    EndTransfer(&transfer->second);
    transfers_.erase(transfer);
  }
  EndAttempt(&found->second, AttemptOutcome::kCancelled, std::string());
}

void EndpointLoop::StartSend(Attempt* attempt) {
  const AttemptSpec& spec = attempt->spec;
  if (!connections_.HasIdle(spec.address, spec.incarnation)) {
    StartVerification(attempt);
    return;
  }
  Transfer* transfer =
      AddTransfer(TransferKind::kSend, spec.endpoint, spec.address);
  transfer->attempt = spec.attempt;
  attempt->transfer = transfer->id;
  try {
    PrepareSend(transfer, spec);
  } catch (const std::invalid_argument& error) {
    transfers_.erase(attempt->transfer);
    EndAttempt(attempt, AttemptOutcome::kNotSent, error.what());
    return;
  }
  StartTransfer(transfer);
  // Makes libcurl assign the idle connection now, so that HasIdle does not
  // count it for the next attempt.
  int running = 0;
  curl_multi_socket_action(multi_.get(), CURL_SOCKET_TIMEOUT, 0, &running);
}

void EndpointLoop::StartVerification(Attempt* attempt) {
  const auto remaining_time = std::chrono::ceil<std::chrono::milliseconds>(
      attempt->connect_deadline - clock_.Now());
  if (remaining_time.count() <= 0 ||
      attempt->verification_count >= kMaxVerifications) {
    EndAttempt(attempt, AttemptOutcome::kNotSent,
               "no verified connection within the connect timeout");
    return;
  }
  ++attempt->verification_count;
  const AttemptSpec& spec = attempt->spec;
  Transfer* transfer =
      AddTransfer(TransferKind::kVerify, spec.endpoint, spec.address);
  transfer->attempt = spec.attempt;
  attempt->transfer = transfer->id;
  PrepareProbe(transfer, remaining_time, options_.max_probe_bytes, true);
  StartTransfer(transfer);
}

bool EndpointLoop::OnHeaderLine(Transfer* transfer, std::string_view line) {
  if (!transfer->reader->CountBytes(line.size())) {
    return false;
  }
  const bool complete = transfer->reader->AddHeaderLine(line);
  if (transfer->reader->fault() != ResponseFault::kNone) {
    return false;
  }
  if (complete && transfer->kind == TransferKind::kSend) {
    transfer->event_stream = transfer->reader->is_event_stream();
    AttemptHead head;
    head.attempt = transfer->attempt;
    head.http_status = transfer->reader->http_status();
    head.headers = transfer->reader->headers();
    head.own_connection = transfer->own_connection;
    Push(std::move(head));
  }
  return true;
}

bool EndpointLoop::OnBody(Transfer* transfer, std::string_view bytes) {
  if (!transfer->reader->CountBytes(bytes.size())) {
    return false;
  }
  if (transfer->kind != TransferKind::kSend) {
    transfer->probe_body.append(bytes);
    return true;
  }
  AttemptData data;
  data.attempt = transfer->attempt;
  data.bytes = transfer->event_stream ? transfer->splitter.Add(bytes)
                                      : std::string(bytes);
  if (!data.bytes.empty()) {
    Push(std::move(data));
  }
  return true;
}

bool EndpointLoop::OnBeforeWrite(Transfer* transfer, int local_port) {
  Connection* connection =
      connections_.FindByPort(transfer->address, local_port);
  if (connection == nullptr || connection->closed) {
    transfer->unverified = true;
    return false;
  }
  if (transfer->kind == TransferKind::kSend) {
    Attempt& attempt = attempts_.at(transfer->attempt);
    // If the request was already sent, libcurl is retrying it after its first
    // connection broke; the endpoint may have executed it by then.
    if (attempt.sent ||
        connection->verified_incarnation != attempt.spec.incarnation) {
      transfer->unverified = true;
      return false;
    }
    attempt.sent = true;
    transfer->own_connection = ++connection->attempts == 1;
    Push(AttemptSent{attempt.spec.attempt});
  }
  ++transfer->write_count;
  transfer->descriptor = connection->descriptor;
  transfer->received_before = BytesReceived(connection->descriptor);
  connection->transfer = transfer->id;
  return true;
}

// libcurl does not pass on all bytes of a chunked response: the line of a chunk
// may have an extension without end.
bool EndpointLoop::OnProgress(Transfer* transfer) {
  const std::uint64_t received = BytesReceived(transfer->descriptor);
  return transfer->write_count == 0 || received < transfer->received_before ||
         transfer->reader->CheckReceived(received - transfer->received_before);
}

void EndpointLoop::Finish(Transfer* transfer, CURLcode result) {
  const TransferId id = transfer->id;
  ProbeResult probe;
  if (transfer->kind != TransferKind::kSend) {
    // EndTransfer closes connections that are not verified by then.
    probe = EvaluateProbe(transfer, result);
  }
  if (transfer->kind == TransferKind::kSend) {
    DropAfterUnnamedRefusal(*transfer);
  }
  EndTransfer(transfer);
  const bool retried_by_curl = transfer->write_count > 1;
  if (transfer->lost_incarnation != Incarnation() &&
      (result != CURLE_OK || retried_by_curl)) {
    ReportLost(transfer->endpoint, transfer->lost_incarnation);
  }
  switch (transfer->kind) {
    case TransferKind::kProbe:
      Push(std::move(probe));
      break;
    case TransferKind::kVerify:
      FinishVerification(transfer, std::move(probe), result);
      break;
    case TransferKind::kSend:
      FinishSend(transfer, result);
      break;
  }
  transfers_.erase(id);
}

// A second copy of such a refusal could not be told apart from the response to
// a later request on the connection.
void EndpointLoop::DropAfterUnnamedRefusal(const Transfer& transfer) {
  const ResponseReader& reader = *transfer.reader;
  const bool refusal = reader.http_status() == kHttpTooManyRequests ||
                       reader.http_status() == kHttpUnavailable;
  Connection* connection = connections_.Find(transfer.descriptor);
  if (refusal && FindHeader(reader.headers(), "X-Request-Id").empty() &&
      connection != nullptr && connection->transfer == transfer.id) {
    connection->verified_incarnation = Incarnation();
  }
}

ProbeResult EndpointLoop::EvaluateProbe(Transfer* transfer, CURLcode result) {
  ProbeResult probe;
  probe.endpoint = transfer->endpoint;
  const ResponseReader& reader = *transfer->reader;
  if (result != CURLE_OK || reader.http_status() != kHttpOk ||
      !reader.has_framing()) {
    return probe;
  }
  const EndpointMetrics metrics = ParseEndpointMetrics(transfer->probe_body);
  probe.reachable = true;
  probe.incarnation.start_time = metrics.start_time;
  probe.running = metrics.running;
  probe.waiting = metrics.waiting;
  probe.round_trip = RoundTrip(transfer->easy.get());
  const auto now = EndpointTime(metrics, reader);
  if (metrics.start_time.count() > 0 && now > metrics.start_time) {
    probe.uptime = now - metrics.start_time;
  }
  MarkVerified(*transfer, probe.incarnation);
  return probe;
}

void EndpointLoop::MarkVerified(const Transfer& transfer,
                                Incarnation incarnation) {
  Connection* connection = connections_.Find(transfer.descriptor);
  if (connection != nullptr && connection->transfer == transfer.id) {
    connection->verified_incarnation = incarnation;
  }
  if (incarnation != Incarnation()) {
    connections_.ShutDownIdle(transfer.endpoint, incarnation);
  }
}

void EndpointLoop::FinishVerification(Transfer* transfer,
                                      ProbeResult probe,
                                      CURLcode result) {
  Attempt* attempt = &attempts_.at(transfer->attempt);
  if (!probe.reachable) {
    std::string detail = "verification failed: ";
    detail +=
        result == CURLE_OK ? "invalid reply" : ErrorText(result, *transfer);
    EndAttempt(attempt, AttemptOutcome::kNotSent, std::move(detail));
  } else if (probe.incarnation == attempt->spec.incarnation) {
    StartSend(attempt);
  } else {
    Push(std::move(probe));
    EndAttempt(attempt, AttemptOutcome::kIncarnationChanged, std::string());
  }
}

void EndpointLoop::FinishSend(Transfer* transfer, CURLcode result) {
  Attempt* attempt = &attempts_.at(transfer->attempt);
  if (attempt->sent) {
    FinishSentAttempt(transfer, attempt, result);
  } else if (transfer->unverified) {
    StartVerification(attempt);
  } else {
    EndAttempt(attempt, AttemptOutcome::kNotSent, ErrorText(result, *transfer));
  }
}

void EndpointLoop::FinishSentAttempt(Transfer* transfer,
                                     Attempt* attempt,
                                     CURLcode result) {
  const AttemptOutcome outcome = ClassifySent(result, *transfer->reader);
  std::string incomplete_event = transfer->splitter.TakeRest();
  if (outcome == AttemptOutcome::kComplete && !incomplete_event.empty()) {
    Push(AttemptData{attempt->spec.attempt, std::move(incomplete_event)});
  }
  EndAttempt(attempt, outcome, OutcomeDetail(result, *transfer));
}

void EndpointLoop::EndAttempt(Attempt* attempt,
                              AttemptOutcome outcome,
                              std::string detail) {
  AttemptEnd end;
  end.attempt = attempt->spec.attempt;
  end.endpoint = attempt->spec.endpoint;
  end.outcome = outcome;
  end.detail = std::move(detail);
  attempts_.erase(end.attempt);
  ReleaseAttempt();
  Push(std::move(end));
}

}  // namespace filbertshift
