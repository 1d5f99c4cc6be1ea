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
constexpr std::size_t kMaxAuthorLength = 64;
constexpr std::size_t kMaxTargetLength = 2048;
constexpr std::string_view kApplyPrefix = "/v1/configuration/";

AdminResponse Error(int status,
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
  AdminResponse response =
      Error(422, "invalid_section", "the text of the section has faults");
  nlohmann::json body = nlohmann::json::parse(response.body);
  body["error"]["findings"] = nlohmann::json::parse(FindingsToJson(findings));
  response.body = body.dump();
  return response;
}

// A fault of the call, with the status and code of its reply.
class BadCall : public std::runtime_error {
 public:
  BadCall(int status, std::string code, const std::string& message)
      : std::runtime_error(message), status_(status), code_(std::move(code)) {}
  int status() const { return status_; }
  const std::string& code() const { return code_; }

 private:
  int status_;
  std::string code_;
};

void RequireMethod(const AdminRequest& request, std::string_view method) {
  if (request.method != method) {
    throw BadCall(405, "method_not_allowed", std::string(method));
  }
}

// Throws BadCall for a parameter that is not in `known` or is given twice.
cxxtools::QueryParams ParseQuery(const AdminRequest& request,
                                 const std::vector<std::string>& known) {
  cxxtools::QueryParams query;
  query.parse_url(request.query);
  std::set<std::string> names;
  query.getNames(std::inserter(names, names.end()));
  if (query.paramcount() > 0 && !request.query.empty()) {
    throw BadCall(400, "unknown_parameter", "parameters need a name");
  }
  for (const std::string& name : names) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      throw BadCall(400, "unknown_parameter",
                    fmt::format("unknown parameter \"{}\"", name));
    }
    if (query.paramcount(name) > 1) {
      throw BadCall(400, "duplicate_parameter",
                    fmt::format("parameter \"{}\" is given twice", name));
    }
  }
  return query;
}

template <class N>
N ParseNumber(const cxxtools::QueryParams& query,
              const std::string& name,
              N most) {
  std::string text = query.param(name);
  N number = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() ||
      number > most) {
    throw BadCall(400, "invalid_parameter",
                  fmt::format("parameter \"{}\" must be a number from 0 to {}",
                              name, most));
  }
  return number;
}

std::string ParseAuthor(const cxxtools::QueryParams& query) {
  std::string author = query.param("author");
  bool printable = std::all_of(author.begin(), author.end(), [](char c) {
    return static_cast<unsigned char>(c) >= 0x20 && c != 0x7F;
  });
  if (author.empty() || author.size() > kMaxAuthorLength || !printable) {
    throw BadCall(400, "invalid_parameter",
                  fmt::format("parameter \"author\" must have 1 to {} "
                              "printable bytes",
                              kMaxAuthorLength));
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
      return Error(413, "body_too_large", "the body is longer than allowed");
    }
    if (request.path.size() + request.query.size() > kMaxTargetLength) {
      return Error(414, "target_too_long", "the path and query are too long");
    }
    return HandlePath(request);
  } catch (const BadCall& fault) {
    if (fault.status() == 405) {
      AdminResponse response =
          Error(405, fault.code(), fmt::format("use {}", fault.what()));
      response.allow = fault.what();
      return response;
    }
    return Error(fault.status(), fault.code(), fault.what());
  } catch (const std::exception& fault) {
    return Error(500, "internal", fault.what());
  }
}

AdminResponse AdminRouter::HandlePath(const AdminRequest& request) const {
  if (auto command = ShowCommand(request.path)) {
    return Show(request, *command);
  }
  if (request.path.compare(0, kApplyPrefix.size(), kApplyPrefix) == 0) {
    return Apply(request);
  }
  if (request.path == "/v1/events") {
    return Events(request);
  }
  if (request.path == "/metrics") {
    return MetricsText(request);
  }
  if (request.path == "/readyz") {
    return Readiness(request);
  }
  if (request.path == "/healthz") {
    RequireMethod(request, "GET");
    return {200, "application/json", R"({"status":"ok"})", ""};
  }
  return Error(404, "unknown_path",
               fmt::format("no path \"{}\"", request.path));
}

AdminResponse AdminRouter::Show(const AdminRequest& request,
                                OperatorCommand command) const {
  RequireMethod(request, "GET");
  ParseQuery(request, {});
  return CallCore(std::move(command));
}

AdminResponse AdminRouter::Apply(const AdminRequest& request) const {
  RequireMethod(request, "PUT");
  ApplySection command;
  command.section = request.path.substr(kApplyPrefix.size());
  try {
    ParseSectionName(command.section);
  } catch (const std::invalid_argument& fault) {
    return Error(404, "unknown_section", fault.what());
  }
  cxxtools::QueryParams query =
      ParseQuery(request, {"base_revision", "author"});
  command.base_revision = ParseNumber<std::uint64_t>(
      query, "base_revision", std::numeric_limits<std::int64_t>::max());
  command.author = ParseAuthor(query);
  if (request.length_missing) {
    return Error(411, "length_required", "the call needs a Content-Length");
  }
  if (request.body.empty()) {
    return Error(400, "empty_body", "the body must be the text of the section");
  }
  std::vector<Finding> findings = SyntaxFindings(command.section, request.body);
  if (!findings.empty()) {
    return FindingsResponse(findings);
  }
  command.text = request.body;
  return CallCore(std::move(command));
}

AdminResponse AdminRouter::Events(const AdminRequest& request) const {
  RequireMethod(request, "GET");
  cxxtools::QueryParams query =
      ParseQuery(request, {"request", "endpoint", "since", "limit"});
  EventQuery selection;
  selection.request = RequestId(query.param("request"));
  selection.endpoint = EndpointId(query.param("endpoint"));
  selection.since = query.param("since");
  if (!selection.since.empty() && !IsUtcTimePrefix(selection.since)) {
    throw BadCall(400, "invalid_parameter",
                  "parameter \"since\" must be a UTC time as in "
                  "2026-12-04T08:00:00Z, or its leading part");
  }
  selection.limit = query.has("limit") ? ParseNumber<std::size_t>(
                                             query, "limit", kMaxEventLimit)
                                       : kDefaultEventLimit;
  std::string events = SelectEvents(log_.Recent(), selection,
                                    identity_.instance, identity_.data_centre);
  return {200, "application/json", "{\"events\":" + events + "}", ""};
}

AdminResponse AdminRouter::MetricsText(const AdminRequest& request) const {
  RequireMethod(request, "GET");
  prometheus::TextSerializer serializer;
  return {200, "text/plain; version=0.0.4; charset=utf-8",
          serializer.Serialize(registry_.Collect()), ""};
}

AdminResponse AdminRouter::Readiness(const AdminRequest& request) const {
  RequireMethod(request, "GET");
  bool ready = ready_.load();
  return {ready ? 200 : 503, "application/json",
          fmt::format(R"({{"ready":{}}})", ready), ""};
}

AdminResponse AdminRouter::CallCore(OperatorCommand command) const {
  bool changes = std::holds_alternative<ApplySection>(command);
  OperatorCallResult result = calls_.Call(std::move(command));
  switch (result.status) {
    case OperatorCallStatus::kReplied:
      return {result.reply.http_status, "application/json",
              std::move(result.reply.body), ""};
    case OperatorCallStatus::kNotSent:
      return Error(503, "busy", "the instance takes no more calls now");
    case OperatorCallStatus::kNoReply:
      return Error(504, "no_reply",
                   changes ? "no reply in time; the section may or may not be "
                             "stored, read it before you try again"
                           : "the instance did not reply in time");
  }
  return Error(500, "internal", "unknown status");
}

}  // namespace filbertshift
