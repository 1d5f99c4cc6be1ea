#include "src/admin/admin_router.h"

#include <cxxtools/query_params.h>
#include <fmt/format.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

#include "src/admin/event_query.h"
#include "src/config/config.h"

namespace filbertshift {

namespace {

constexpr std::size_t kDefaultEventLimit = 1000;
constexpr std::size_t kMaxEventLimit = 100000;
constexpr std::size_t kMaxAuthorBytes = 64;
constexpr std::size_t kMaxTargetBytes = 2048;
constexpr std::string_view kConfigurationPathPrefix = "/v1/configuration/";

AdminResponse ErrorResponse(int status,
                            std::string_view code,
                            const std::string& message) {
  nlohmann::json body;
  body["error"] = {{"code", code}, {"message", message}};
  AdminResponse response;
  response.http_status = status;
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

AdminResponse FindingsResponse(const std::vector<Finding>& findings) {
  AdminResponse response = ErrorResponse(422, "invalid_section",
                                         "the text of the section has faults");
  nlohmann::json body = nlohmann::json::parse(response.body);
  body["error"]["findings"] = nlohmann::json::parse(FindingsToJson(findings));
  response.body = body.dump();
  return response;
}

// A request that is refused with the given HTTP status and error code.
class RequestError : public std::runtime_error {
 public:
  RequestError(int status, std::string code, const std::string& message)
      : std::runtime_error(message), status_(status), code_(std::move(code)) {}
  int status() const { return status_; }
  const std::string& code() const { return code_; }

 private:
  int status_;
  std::string code_;
};

void RequireMethod(const AdminRequest& request, std::string_view method) {
  if (request.method != method) {
    throw RequestError(405, "method_not_allowed", std::string(method));
  }
}

// Parses the query string. Throws RequestError for a parameter that is unnamed,
// not in `known` or given more than once.
cxxtools::QueryParams ParseQuery(const AdminRequest& request,
                                 const std::vector<std::string>& known) {
  cxxtools::QueryParams query;
  query.parse_url(request.query);
  std::set<std::string> names;
  query.getNames(std::inserter(names, names.end()));
  if (query.paramcount() > 0 && !request.query.empty()) {
    throw RequestError(400, "unknown_parameter", "parameters need a name");
  }
  for (const std::string& name : names) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      throw RequestError(400, "unknown_parameter",
                         fmt::format("unknown parameter \"{}\"", name));
    }
    if (query.paramcount(name) > 1) {
      throw RequestError(400, "duplicate_parameter",
                         fmt::format("parameter \"{}\" is given twice", name));
    }
  }
  return query;
}

template <class N>
N ParseNumber(const cxxtools::QueryParams& query,
              const std::string& name,
              N max_value) {
  std::string text = query.param(name);
  N number = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() ||
      number > max_value) {
    throw RequestError(
        400, "invalid_parameter",
        fmt::format("parameter \"{}\" must be a number from 0 to {}", name,
                    max_value));
  }
  return number;
}

std::string ParseAuthor(const cxxtools::QueryParams& query) {
  std::string author = query.param("author");
  bool printable = std::all_of(author.begin(), author.end(), [](char c) {
    return static_cast<unsigned char>(c) >= 0x20 && c != 0x7F;
  });
  if (author.empty() || author.size() > kMaxAuthorBytes || !printable) {
    throw RequestError(
        400, "invalid_parameter",
        fmt::format("parameter \"author\" must have 1 to {} printable bytes",
                    kMaxAuthorBytes));
  }
  return author;
}

std::optional<OperatorCommand> ShowCommand(const std::string& path) {
  if (path == "/v1/instance") {
    return ShowInstance();
  }
  if (path == "/v1/endpoints") {
    return ShowEndpoints();
  }
  if (path == "/v1/configuration") {
    return ShowConfiguration();
  }
  if (path == "/v1/rollouts") {
    return ShowRollouts();
  }
  return std::nullopt;
}

}  // namespace

AdminRouter::AdminRouter(AdminIdentity identity,
                         OperatorCalls& calls,
                         const StderrEventLog& log,
                         const prometheus::Registry& registry,
                         const std::atomic<bool>& ready)
    : identity_(std::move(identity)),
      calls_(calls),
      log_(log),
      registry_(registry),
      ready_(ready) {}

AdminResponse AdminRouter::Handle(const AdminRequest& request) const {
  try {
    if (request.body_too_large) {
      return ErrorResponse(413, "body_too_large",
                           "the body is longer than allowed");
    }
    if (request.path.size() + request.query.size() > kMaxTargetBytes) {
      return ErrorResponse(414, "target_too_long",
                           "the path and query are too long");
    }
    return Route(request);
  } catch (const RequestError& request_error) {
    if (request_error.status() == 405) {
      AdminResponse response =
          ErrorResponse(405, request_error.code(),
                        fmt::format("use {}", request_error.what()));
      response.allow = request_error.what();
      return response;
    }
    return ErrorResponse(request_error.status(), request_error.code(),
                         request_error.what());
  } catch (const std::exception& internal_error) {
    return ErrorResponse(500, "internal", internal_error.what());
  }
}

AdminResponse AdminRouter::Route(const AdminRequest& request) const {
  if (auto command = ShowCommand(request.path)) {
    return HandleShow(request, *command);
  }
  if (request.path.compare(0, kConfigurationPathPrefix.size(),
                           kConfigurationPathPrefix) == 0) {
    return HandleApply(request);
  }
  if (request.path == "/v1/events") {
    return HandleEvents(request);
  }
  if (request.path == "/metrics") {
    return HandleMetrics(request);
  }
  if (request.path == "/readyz") {
    return HandleReadiness(request);
  }
  if (request.path == "/healthz") {
    RequireMethod(request, "GET");
    return {200, "application/json", R"({"status":"ok"})", ""};
  }
  return ErrorResponse(404, "unknown_path",
                       fmt::format("no path \"{}\"", request.path));
}

AdminResponse AdminRouter::HandleShow(const AdminRequest& request,
                                      OperatorCommand command) const {
  RequireMethod(request, "GET");
  ParseQuery(request, {});
  return CallCore(std::move(command));
}

AdminResponse AdminRouter::HandleApply(const AdminRequest& request) const {
  RequireMethod(request, "PUT");
  ApplySection command;
  command.section = request.path.substr(kConfigurationPathPrefix.size());
  try {
    ParseSectionName(command.section);
  } catch (const std::invalid_argument& section_error) {
    return ErrorResponse(404, "unknown_section", section_error.what());
  }
  cxxtools::QueryParams query =
      ParseQuery(request, {"base_revision", "author"});
  command.base_revision = ParseNumber<std::uint64_t>(
      query, "base_revision", std::numeric_limits<std::int64_t>::max());
  command.author = ParseAuthor(query);
  if (request.length_missing) {
    return ErrorResponse(411, "length_required",
                         "the call needs a Content-Length");
  }
  if (request.body.empty()) {
    return ErrorResponse(400, "empty_body",
                         "the body must be the text of the section");
  }
  std::vector<Finding> findings = SyntaxFindings(command.section, request.body);
  if (!findings.empty()) {
    return FindingsResponse(findings);
  }
  command.text = request.body;
  return CallCore(std::move(command));
}

AdminResponse AdminRouter::HandleEvents(const AdminRequest& request) const {
  RequireMethod(request, "GET");
  cxxtools::QueryParams query =
      ParseQuery(request, {"request", "endpoint", "since", "limit"});
  EventQuery event_filter;
  event_filter.request = RequestId(query.param("request"));
  event_filter.endpoint = EndpointId(query.param("endpoint"));
  event_filter.since = query.param("since");
  if (!event_filter.since.empty() && !IsUtcTimePrefix(event_filter.since)) {
    throw RequestError(400, "invalid_parameter",
                       "parameter \"since\" must be a UTC time as in "
                       "2026-12-04T08:00:00Z, or its leading part");
  }
  event_filter.limit = query.has("limit") ? ParseNumber<std::size_t>(
                                                query, "limit", kMaxEventLimit)
                                          : kDefaultEventLimit;
  std::string events = SelectEvents(log_.Recent(), event_filter,
                                    identity_.instance, identity_.data_centre);
  return {200, "application/json", "{\"events\":" + events + "}", ""};
}

AdminResponse AdminRouter::HandleMetrics(const AdminRequest& request) const {
  RequireMethod(request, "GET");
  prometheus::TextSerializer serializer;
  return {200, "text/plain; version=0.0.4; charset=utf-8",
          serializer.Serialize(registry_.Collect()), ""};
}

AdminResponse AdminRouter::HandleReadiness(const AdminRequest& request) const {
  RequireMethod(request, "GET");
  bool ready = ready_.load();
  return {ready ? 200 : 503, "application/json",
          fmt::format(R"({{"ready":{}}})", ready), ""};
}

AdminResponse AdminRouter::CallCore(OperatorCommand command) const {
  bool changes_configuration = std::holds_alternative<ApplySection>(command);
  OperatorCallResult result = calls_.Call(std::move(command));
  switch (result.status) {
    case OperatorCallStatus::kReplied:
      return {result.reply.http_status, "application/json",
              std::move(result.reply.body), ""};
    case OperatorCallStatus::kNotSent:
      return ErrorResponse(503, "busy", "the instance takes no more calls now");
    case OperatorCallStatus::kNoReply:
      return ErrorResponse(504, "no_reply",
                           changes_configuration
                               ? "no reply in time; the section may or may not "
                                 "be stored, read it before you try again"
                               : "the instance did not reply in time");
  }
  return ErrorResponse(500, "internal", "unknown status");
}

}  // namespace filbertshift
