#include "src/core/request_intake.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace filbertshift {

namespace {

using nlohmann::json;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kModelsPath = "/v1/models";
constexpr std::string_view kJobsPrefix = "/v1/jobs/";
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::size_t kMaxTokenLength = 256;

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

CallerError MakeBadRequestError(std::string code, std::string message) {
  return CallerError{400, std::move(code), std::move(message),
                     RunState::kNotRun, std::chrono::seconds(0)};
}

CallerError MakeCallerError(int status, std::string code, std::string message) {
  return CallerError{status, std::move(code), std::move(message),
                     RunState::kNotRun, std::chrono::seconds(0)};
}

// Allows only visible ASCII, so that keys and session ids are safe in row keys,
// logs and headers.
bool IsValidToken(const std::string& text) {
  return text.size() <= kMaxTokenLength &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

const ClientAccount* Authenticate(const CallerRequest& call,
                                  const Configuration& configuration) {
  std::string authorization = FindHeader(call.headers, "Authorization");
  constexpr std::string_view kBearer = "Bearer ";
  if (!StartsWith(authorization, kBearer)) {
    return nullptr;
  }
  return configuration.FindAccountByKeyHash(
      Sha256Hex(std::string_view(authorization).substr(kBearer.size())));
}

std::string ModelListingBody(const Configuration& configuration,
                             const ClientAccount& account) {
  json data = json::array();
  for (const AllowedModel& allowed : account.models) {
    const Model* model = configuration.FindModel(allowed.model);
    if (model == nullptr) {
      continue;
    }
    data.push_back({{"id", model->model.value()},
                    {"object", "model"},
                    {"owned_by", "filbertshift"}});
    for (const ModelVersion& version : model->versions) {
      if (configuration.IsAllowed(account, model->model, version.version)) {
        data.push_back({{"id", fmt::format("{}:{}", model->model.value(),
                                           version.version.value())},
                        {"object", "model"},
                        {"owned_by", "filbertshift"}});
      }
    }
  }
  return json({{"object", "list"}, {"data", data}}).dump();
}

// Parses the fields that chat and service requests have in common.
std::optional<CallerError> ParseCommonFields(const CallerRequest& call,
                                             const Configuration& configuration,
                                             const ClientAccount& account,
                                             Request* request) {
  request->account = account.account;
  request->weight = account.weight;
  request->method = call.method;
  request->content_type = FindHeader(call.headers, "Content-Type");
  request->raw_body = call.body;
  request->received = call.received;
  request->session = SessionId(FindHeader(call.headers, "X-Session-Id"));
  request->idempotency_key = FindHeader(call.headers, "Idempotency-Key");
  if (!IsValidToken(request->session.value())) {
    return MakeBadRequestError("invalid_header",
                               "X-Session-Id is not a valid token");
  }
  if (!IsValidToken(request->idempotency_key)) {
    return MakeBadRequestError("invalid_header",
                               "Idempotency-Key is not a valid token");
  }
  std::string class_name = FindHeader(call.headers, "X-Quality-Class");
  if (class_name.empty()) {
    class_name = account.default_class;
  }
  const QualityClass* quality_class = configuration.FindClass(class_name);
  if (quality_class == nullptr) {
    return MakeBadRequestError(
        "unknown_class", fmt::format("no quality class '{}'", class_name));
  }
  request->quality_class = *quality_class;
  std::chrono::milliseconds allowed = quality_class->deadline;
  std::string deadline = FindHeader(call.headers, "X-Deadline-Ms");
  if (!deadline.empty()) {
    std::int64_t value = 0;
    auto [end, error] = std::from_chars(
        deadline.data(), deadline.data() + deadline.size(), value);
    constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
    if (error != std::errc() || end != deadline.data() + deadline.size() ||
        value <= 0 || value > kMaxDeadlineMs) {
      return MakeBadRequestError(
          "invalid_header",
          "X-Deadline-Ms must be a number from 1 to 86400000");
    }
    allowed = std::chrono::milliseconds(value);
  }
  request->deadline = call.received + allowed;
  std::string hash_input = request->account.value() + '\n' + call.method +
                           '\n' + call.path + '?' + call.query + '\n' +
                           call.body;
  request->request_hash = Sha256Hex(hash_input);
  request->fingerprint =
      Fingerprint{XXH64(hash_input.data(), hash_input.size(), 0)};
  return std::nullopt;
}

bool IsModelAllowed(const ClientAccount& account, const ModelId& model) {
  return std::any_of(
      account.models.begin(), account.models.end(),
      [&](const AllowedModel& allowed) { return allowed.model == model; });
}

// Returns the first model of the cascade that the account may use, or the first
// model if it may use none, so that the error names a model.
ModelId FirstAllowedModel(const std::vector<ModelId>& cascade,
                          const ClientAccount& account) {
  auto found = std::find_if(
      cascade.begin(), cascade.end(),
      [&](const ModelId& model) { return IsModelAllowed(account, model); });
  return found == cascade.end() ? cascade.front() : *found;
}

std::optional<CallerError> ParseModel(const Configuration& configuration,
                                      const ClientAccount& account,
                                      Request* request) {
  std::string name = request->chat_body.value("model", std::string());
  if (name.empty() || name == "auto") {
    if (request->quality_class.cascade.empty()) {
      return MakeBadRequestError(
          "missing_model", "the request names no model and its class has none");
    }
    request->model = FirstAllowedModel(request->quality_class.cascade, account);
    request->model_named_by_caller = false;
  } else {
    std::size_t colon = name.find(':');
    request->model = ModelId(name.substr(0, colon));
    if (colon != std::string::npos) {
      request->version = VersionId(name.substr(colon + 1));
      request->version_named_by_caller = true;
    }
  }
  if (configuration.FindModel(request->model) == nullptr) {
    return MakeCallerError(
        404, "model_not_found",
        fmt::format("no model '{}'", request->model.value()));
  }
  if (!IsModelAllowed(account, request->model)) {
    return MakeCallerError(
        403, "model_not_allowed",
        fmt::format("client account '{}' may not use model '{}'",
                    account.account.value(), request->model.value()));
  }
  if (request->version_named_by_caller &&
      !configuration.IsAllowed(account, request->model, request->version)) {
    return MakeCallerError(
        403, "version_not_allowed",
        fmt::format("version '{}' of model '{}' is withdrawn or not "
                    "allowed",
                    request->version.value(), request->model.value()));
  }
  return std::nullopt;
}

std::optional<CallerError> CheckMessages(const json& body) {
  auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return MakeBadRequestError(
        "invalid_request",
        "/messages must be an array with at least one message");
  }
  for (std::size_t i = 0; i < messages->size(); ++i) {
    const json& message = (*messages)[i];
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string()) {
      return MakeBadRequestError("invalid_request",
                                 fmt::format("/messages/{} needs a role", i));
    }
  }
  return std::nullopt;
}

// Checks the types of the fields that the router reads; engines check the
// others.
std::optional<CallerError> CheckChatBody(const json& body) {
  if (!body.is_object()) {
    return MakeBadRequestError("invalid_request",
                               "the body must be a JSON object");
  }
  if (body.contains("model") && !body["model"].is_string()) {
    return MakeBadRequestError("invalid_request", "/model must be a string");
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return MakeBadRequestError("invalid_request",
                               "/stream must be true or false");
  }
  if (body.contains("stream_options") && !body["stream_options"].is_object()) {
    return MakeBadRequestError("invalid_request",
                               "/stream_options must be an object");
  }
  if (body.contains("n") && body["n"] != 1) {
    return MakeBadRequestError(
        "unsupported_parameter",
        "/n must be 1; answers with several choices cannot be "
        "continued at another endpoint");
  }
  return CheckMessages(body);
}

IntakeResult ParseChatRequest(const CallerRequest& call,
                              const Configuration& configuration,
                              const ClientAccount& account,
                              const RequestId& id) {
  Request request;
  request.id = id;
  request.kind = RequestKind::kChat;
  request.caller = call.caller;
  try {
    request.chat_body = ParseJson(call.body, RepeatedKeys::kUseLast);
  } catch (const DocumentError& error) {
    return MakeBadRequestError(
        "invalid_json",
        fmt::format("the body is not valid JSON: {}", error.what()));
  }
  if (auto error = CheckChatBody(request.chat_body)) {
    return *error;
  }
  if (auto error = ParseCommonFields(call, configuration, account, &request)) {
    return *error;
  }
  if (auto error = ParseModel(configuration, account, &request)) {
    return *error;
  }
  request.target = std::string(kChatPath);
  request.stream_requested = request.chat_body.value("stream", false);
  json options = request.chat_body.value("stream_options", json::object());
  request.usage_requested =
      options.contains("include_usage") && options["include_usage"] == true;
  std::string prefer = FindHeader(call.headers, "Prefer");
  if (prefer.find("respond-async") == std::string::npos) {
    return request;
  }
  JobSubmission submission;
  submission.request = {JobId(id.value()),
                        request.account,
                        request.quality_class.name,
                        {{"X-Session-Id", request.session.value()}},
                        request.target,
                        call.body};
  submission.validated = std::move(request);
  return submission;
}

const ServiceRoute* FindRoute(const Service& service,
                              const std::string& method,
                              std::string_view path) {
  for (const ServiceRoute& route : service.routes) {
    if ((route.method.empty() || route.method == method) &&
        StartsWith(path, route.path_prefix)) {
      return &route;
    }
  }
  return nullptr;
}

IntakeResult ParseServiceRequest(const CallerRequest& call,
                                 const Configuration& configuration,
                                 const ClientAccount& account,
                                 const RequestId& id) {
  std::string_view rest =
      std::string_view(call.path).substr(kServicesPrefix.size());
  std::size_t slash = std::min(rest.find('/'), rest.size());
  ServiceId service_id{std::string(rest.substr(0, slash))};
  std::string path(rest.substr(slash));
  if (path.empty()) {
    path = "/";
  }
  const Service* service = configuration.FindService(service_id);
  bool allowed = std::find(account.services.begin(), account.services.end(),
                           service_id) != account.services.end();
  if (service == nullptr) {
    return MakeCallerError(404, "service_not_found",
                           fmt::format("no service '{}'", service_id.value()));
  }
  if (!allowed) {
    return MakeCallerError(
        403, "service_not_allowed",
        fmt::format("client account '{}' may not use service '{}'",
                    account.account.value(), service_id.value()));
  }
  Request request;
  request.id = id;
  request.kind = RequestKind::kService;
  request.caller = call.caller;
  request.service = service_id;
  if (auto error = ParseCommonFields(call, configuration, account, &request)) {
    return *error;
  }
  request.target = call.query.empty() ? path : path + '?' + call.query;
  const ServiceRoute* route = FindRoute(*service, call.method, path);
  request.repeatable = route != nullptr && route->repeatable;
  if (!request.repeatable && request.idempotency_key.empty()) {
    return MakeBadRequestError(
        "idempotency_key_required",
        "this call may not be repeated and needs an Idempotency-Key header");
  }
  return request;
}

}  // namespace

IntakeResult ParseCallerRequest(const CallerRequest& call,
                                const Configuration& configuration,
                                const RequestId& id) {
  const ClientAccount* account = Authenticate(call, configuration);
  if (account == nullptr) {
    return MakeCallerError(401, "invalid_api_key",
                           "the Authorization header has no valid API key");
  }
  if (StartsWith(call.path, kServicesPrefix)) {
    return ParseServiceRequest(call, configuration, *account, id);
  }
  if (call.path == kChatPath) {
    if (call.method != "POST") {
      return MakeCallerError(405, "method_not_allowed", "use POST");
    }
    return ParseChatRequest(call, configuration, *account, id);
  }
  bool is_job = StartsWith(call.path, kJobsPrefix);
  if (call.path != kModelsPath && !is_job) {
    return MakeCallerError(404, "not_found",
                           fmt::format("no path {}", call.path));
  }
  if (call.method != "GET") {
    return MakeCallerError(405, "method_not_allowed", "use GET");
  }
  if (is_job) {
    return JobQuery{account->account,
                    JobId(call.path.substr(kJobsPrefix.size()))};
  }
  return ModelListing{ModelListingBody(configuration, *account)};
}

IntakeResult ParseJobRequest(const JobRequest& job,
                             const Configuration& configuration,
                             const RequestId& id,
                             TimePoint now) {
  const ClientAccount* account = configuration.FindAccount(job.account);
  if (account == nullptr) {
    return MakeCallerError(403, "account_removed",
                           "the client account of the job no longer exists");
  }
  CallerRequest call;
  call.method = "POST";
  call.path = job.target;
  call.headers = job.headers;
  call.headers.push_back({"X-Quality-Class", job.quality_class});
  call.headers.push_back({"Content-Type", "application/json"});
  call.body = job.body;
  call.received = now;
  IntakeResult intake = ParseChatRequest(call, configuration, *account, id);
  if (auto* request = std::get_if<Request>(&intake)) {
    request->caller.reset();
    request->job = job.job;
    request->stream_requested = false;
  }
  return intake;
}

VersionId SelectVersion(const Configuration& configuration,
                        const ClientAccount& account,
                        const ModelId& model,
                        double selector,
                        const std::set<VersionId>& stopped) {
  auto usable = [&](const VersionId& version) {
    return stopped.count(version) == 0 &&
           configuration.IsAllowed(account, model, version);
  };
  const Rollout* rollout = configuration.FindRollout(model);
  if (rollout != nullptr) {
    if (rollout->state == RolloutState::kRunning &&
        selector < rollout->exposure && usable(rollout->candidate)) {
      return rollout->candidate;
    }
    if (usable(rollout->stable)) {
      return rollout->stable;
    }
  }
  const Model* found = configuration.FindModel(model);
  if (found == nullptr) {
    return VersionId();
  }
  for (const ModelVersion& version : found->versions) {
    bool is_candidate =
        rollout != nullptr && version.version == rollout->candidate;
    if (!is_candidate && usable(version.version)) {
      return version.version;
    }
  }
  // Only the candidate is left, for example after the stable version was
  // withdrawn.
  bool candidate_runs =
      rollout != nullptr && rollout->state != RolloutState::kStopped;
  return candidate_runs && usable(rollout->candidate) ? rollout->candidate
                                                      : VersionId();
}

}  // namespace filbertshift
