// Tests the exported metrics and the documentation page that lists them.

#include <prometheus/text_serializer.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

#include "src/admin/admin.h"

namespace filbertshift {
namespace {

// Guards against metrics that are declared but not exported under their names.
TEST_CASE("each metric appears in the exported text", "[admin]") {
  prometheus::Registry registry;
  Metrics metrics(registry);
  metrics.CountRequest("draft", "ok");
  metrics.CountAttempt(AttemptOutcome::kBroken);
  metrics.ObserveFirstToken("draft", std::chrono::milliseconds(300));
  metrics.ObserveTokenGap("draft", std::chrono::milliseconds(43));
  metrics.ObserveAddedDelay(std::chrono::microseconds(120));
  metrics.SetInFlight(3);
  metrics.SetQueueLength("draft", 2);
  metrics.SetEndpoints("up", 20);
  metrics.SetShare(5, 10);
  metrics.SetChargesBuffered(4);
  metrics.CountChargesStored(6);
  metrics.CountTableCall(TableOutcome::kUnknown);
  metrics.SetConfigurationRevision(Section::kRollouts, 9);
  metrics.CountInvariantViolation("I4");
  metrics.CountEvent(EventId::kPeerUp);
  const std::string text =
      prometheus::TextSerializer().Serialize(registry.Collect());
  for (const MetricDefinition& definition : MetricDefinitions()) {
    INFO(definition.name);
    CHECK(text.find("# TYPE " + definition.name + " " +
                    std::string(MetricKindName(definition.kind))) !=
          std::string::npos);
    CHECK((text.find("\n" + definition.name + " ") != std::string::npos ||
           text.find("\n" + definition.name + "{") != std::string::npos ||
           text.find("\n" + definition.name + "_bucket") != std::string::npos));
  }
  for (const char* line :
       {"filbertshift_requests_total{class=\"draft\",outcome=\"ok\"} 1",
        "filbertshift_token_gap_seconds_bucket{class=\"draft\",le=\"0.043\"} 1",
        "filbertshift_charges_stored_total 6",
        "filbertshift_configuration_revision{section=\"rollouts\"} 9",
        "filbertshift_invariant_violations_total{invariant=\"I4\"} 1",
        "filbertshift_invariant_violations_total{invariant=\"I9\"} 0"}) {
    INFO(line);
    CHECK(text.find(line) != std::string::npos);
  }
}

// Guards against a documented list of metrics that is out of date.
TEST_CASE("docs/OPERATIONS.md lists every metric", "[admin]") {
  std::ifstream file(FILBERTSHIFT_SOURCE_DIR "/docs/OPERATIONS.md");
  std::stringstream page;
  page << file.rdbuf();
  for (const MetricDefinition& definition : MetricDefinitions()) {
    std::string labels;
    for (const std::string& label : definition.labels) {
      labels += (labels.empty() ? "" : ", ") + label;
    }
    std::string row = "| `" + definition.name + "` | " +
                      std::string(MetricKindName(definition.kind)) + " | " +
                      labels + (labels.empty() ? "| " : " | ") +
                      definition.help + " |";
    INFO(row);
    CHECK(page.str().find(row) != std::string::npos);
  }
}

}  // namespace
}  // namespace filbertshift
