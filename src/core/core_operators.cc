// Handles operator requests: the state of this instance and configuration
// changes.

#include <fmt/format.h>

#include <utility>

#include "src/core/core.h"

namespace filbertshift {

namespace {

using nlohmann::json;

json RevisionsJson(const std::vector<std::uint64_t>& revisions) {
  json result = json::object();
  const std::vector<Section>& sections = ConfigurationSections();
  for (std::size_t i = 0; i < sections.size() && i < revisions.size(); ++i) {
    result[std::string(SectionName(sections[i]))] = revisions[i];
  }
  return result;
}

std::string_view RolloutStateName(RolloutState state) {
  switch (state) {
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kPaused:
      return "paused";
    case RolloutState::kStopped:
      return "stopped";
  }
  return "stopped";
}

std::string EndpointState(const EndpointView& view) {
  if (view.draining || view.record.leaving) {
    return "draining";
  }
  if (view.suspected) {
    return "suspected";
  }
  if (view.paused) {
    return "paused";
  }
  return view.verified ? "live" : "unverified";
}

json FindingsJson(const std::vector<Finding>& findings) {
  json result = json::array();
  for (const Finding& finding : findings) {
    result.push_back({{"source", finding.source},
                      {"path", finding.path},
                      {"line", finding.line},
                      {"column", finding.column},
                      {"message", finding.message}});
  }
  return result;
}

std::string ErrorJson(const std::string& code,
                      const std::string& message,
                      json body = json::object(),
                      json findings = nullptr) {
  body["error"] = {{"code", code}, {"message", message}};
  if (!findings.is_null()) {
    body["error"]["findings"] = std::move(findings);
  }
  return body.dump();
}

OperatorReply ApplyReply(OperatorCallId call, const ApplyResult& result) {
  switch (result.status) {
    case ApplyStatus::kAccepted:
      return {
          call, 200,
          json({{"status", "accepted"}, {"revision", result.revision}}).dump()};
    case ApplyStatus::kConflict:
      return {call, 409,
              ErrorJson("conflict", "another change came first",
                        {{"current",
                          {{"revision", result.current.revision},
                           {"text", result.current.text}}}})};
    case ApplyStatus::kInvalid:
      return {call, 422,
              ErrorJson("invalid_section", "the section has findings", {},
                        FindingsJson(result.findings))};
    case ApplyStatus::kUnavailable:
      return {call, 503,
              ErrorJson("not_stored", "the table service did not store it")};
    case ApplyStatus::kUnknown:
      break;
  }
  return {call, 504,
          ErrorJson("not_known", "the table service did not confirm")};
}

}  // namespace

void Core::OnMessage(OperatorRequest&& request) {
  OperatorCallId call = request.call;
  if (auto* apply = std::get_if<ApplySection>(&request.command)) {
    Apply(call, *apply);
    return;
  }
  std::string body;
  if (std::holds_alternative<ShowInstance>(request.command)) {
    body = InstanceJson();
  } else if (std::holds_alternative<ShowEndpoints>(request.command)) {
    body = EndpointsJson();
  } else if (std::holds_alternative<ShowConfiguration>(request.command)) {
    body = ConfigurationJson();
  } else {
    body = RolloutsJson();
  }
  ports_.operators.Reply({call, 200, std::move(body)});
}

void Core::Apply(OperatorCallId call, const ApplySection& command) {
  ports_.log.Write(
      EventId::kOperatorCommand,
      fmt::format("apply section={} base_revision={} author={}",
                  command.section, command.base_revision, command.author));
  Section section;
  try {
    section = ParseSectionName(command.section);
  } catch (const std::invalid_argument& error) {
    ports_.operators.Reply(
        {call, 404, ErrorJson("unknown_section", error.what())});
    return;
  }
  configuration_ledger_.Apply(
      section, command.base_revision, command.text, command.author,
      [this, call](const ApplyResult& result) {
        ports_.operators.Reply(ApplyReply(call, result));
      });
}

std::string Core::InstanceJson() const {
  json peers = json::array();
  for (const auto& [id, heartbeat] : peer_heartbeats_) {
    peers.push_back({{"instance", id.value()},
                     {"up", connected_peers_.count(id) > 0},
                     {"data_centre", heartbeat.data_centre.value()},
                     {"seat", heartbeat.seat},
                     {"accepting", heartbeat.accepting},
                     {"revisions", RevisionsJson(heartbeat.revisions)}});
  }
  return json({{"instance", options_.instance.value()},
               {"data_centre", options_.data_centre.value()},
               {"seat", options_.seat},
               {"incarnation", options_.incarnation},
               {"ready", ready()},
               {"shutting_down", shutting_down_},
               {"store_available", table_calls_.available()},
               {"revisions", RevisionsJson(configuration_ledger_.Revisions())},
               {"requests", requests_.size()},
               {"queued", queue_.size()},
               {"unstored_charges", charges_.unstored_charges()},
               {"suspects", quarantine_.size()},
               {"peers", peers}})
      .dump();
}

std::string Core::EndpointsJson() const {
  json endpoints = json::array();
  for (const EndpointView& view : registry_.Views(ports_.clock.Now())) {
    endpoints.push_back({{"endpoint", view.record.endpoint.value()},
                         {"address", view.record.address},
                         {"data_centre", view.record.data_centre.value()},
                         {"model", view.record.model.value()},
                         {"version", view.record.version.value()},
                         {"service", view.record.service.value()},
                         {"state", EndpointState(view)},
                         {"uptime_ms", view.uptime.count()},
                         {"start_time_ms", view.incarnation.start_time.count()},
                         {"share", view.share},
                         {"in_flight", view.in_flight},
                         {"running", view.running},
                         {"waiting", view.waiting}});
  }
  return json({{"endpoints", endpoints}}).dump();
}

std::string Core::ConfigurationJson() const {
  json sections = json::object();
  for (const auto& [section, text] : configuration_ledger_.sections()) {
    sections[std::string(SectionName(section))] = {{"revision", text.revision},
                                                   {"text", text.text}};
  }
  return json({{"sections", sections}}).dump();
}

std::string Core::RolloutsJson() const {
  json rollouts = json::array();
  for (const Rollout& rollout : configuration().rollouts) {
    rollouts.push_back({{"model", rollout.model.value()},
                        {"stable", rollout.stable.value()},
                        {"candidate", rollout.candidate.value()},
                        {"exposure", rollout.exposure},
                        {"state", RolloutStateName(rollout.state)}});
  }
  return json({{"rollouts", rollouts}}).dump();
}

}  // namespace filbertshift
