#include "tests/unit/core/core_fixture.h"

#include <catch2/catch.hpp>

namespace filbertshift {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kTick{10};
constexpr std::chrono::milliseconds kInitialStartTime{1000000};
constexpr std::chrono::hours kUptime{1};

json ModelsSection() {
  json limits = {{"max_concurrency", 4},
                 {"cold_start_concurrency", 1},
                 {"warm_up", "10s"}};
  json versions = json::array({{{"version", "v1"}, {"limits", limits}},
                               {{"version", "v2"}, {"limits", limits}}});
  json models = json::array({{{"model", "small"},
                              {"cost_per_1000_tokens", 1.0},
                              {"versions", versions}}});
  json routes = json::array(
      {{{"method", "GET"}, {"path_prefix", "/"}, {"repeatable", true}}});
  json services = json::array(
      {{{"service", "ledger"}, {"limits", limits}, {"routes", routes}}});
  json classes = json::array({{{"name", "lookup"},
                               {"priority", 0},
                               {"deadline", "30s"},
                               {"queue_limit", 10},
                               {"cascade", {"small"}}}});
  return {{"models", models},
          {"services", services},
          {"classes", classes},
          {"seats_per_endpoint", 1}};
}

json AccountsSection() {
  return json::array({{{"account", "museum"},
                       {"api_key_hashes", {Sha256Hex("key")}},
                       {"models", json::array({{{"model", "small"}}})},
                       {"services", {"ledger"}},
                       {"default_class", "lookup"},
                       {"weight", 1},
                       {"max_in_flight", 100}}});
}

json DataCentresSection() {
  return json::array({{{"data_centre", "a"},
                       {"region", "test"},
                       {"drained", false},
                       {"seats", {0}}}});
}

EndpointRecord Engine(const std::string& id) {
  EndpointRecord record;
  record.endpoint = EndpointId(id);
  record.address = "127.0.0.1:1";
  record.data_centre = DataCentreId("a");
  record.model = ModelId("small");
  record.version = VersionId("v1");
  return record;
}

EndpointRecord Ledger(const std::string& id) {
  EndpointRecord record;
  record.endpoint = EndpointId(id);
  record.address = "127.0.0.1:2";
  record.data_centre = DataCentreId("a");
  record.kind = EndpointKind::kPlainService;
  record.service = ServiceId("ledger");
  return record;
}

CoreOptions Options() {
  CoreOptions options;
  options.instance = InstanceId("entry-0");
  options.data_centre = DataCentreId("a");
  options.seat = 0;
  options.incarnation = "entry-0-1";
  options.rating_share = 0;
  return options;
}

}  // namespace

void RecordingCallers::SendHead(CallerId caller,
                                int http_status,
                                std::vector<HttpHeader> headers,
                                bool) {
  records[caller].http_status = http_status;
  records[caller].headers = std::move(headers);
}

void RecordingCallers::SendBody(CallerId caller, std::string bytes) {
  records[caller].body += bytes;
}

void RecordingCallers::Finish(CallerId caller) {
  REQUIRE_FALSE(records[caller].finished);
  records[caller].finished = true;
}

void RecordingCallers::Abort(CallerId caller) {
  records[caller].finished = true;
}

bool RecordingEndpoints::Start(AttemptSpec attempt) {
  started.push_back(std::move(attempt));
  return true;
}

void RecordingEndpoints::Cancel(const AttemptId& attempt) {
  cancelled.push_back(attempt);
}

void RecordingEndpoints::Probe(const EndpointId& endpoint,
                               const std::string&,
                               std::chrono::milliseconds) {
  probes.push_back(endpoint);
}

void RecordingEndpoints::Forget(const EndpointId&) {}

void RecordingPeers::Send(const InstanceId&, PeerMessage message) {
  sent.push_back(std::move(message));
}

void RecordingPeers::Broadcast(PeerMessage message) {
  sent.push_back(std::move(message));
}

void RecordingPeers::SetPeers(std::vector<PeerAddress>) {}

void RecordingOperators::Reply(OperatorReply reply) {
  replies.push_back(std::move(reply));
}

bool RecordingRatings::Rate(OperationId operation, RatingQuery query) {
  if (available) {
    queries.emplace_back(operation, std::move(query));
  }
  return available;
}

void RecordingMetrics::OnRequestEnd(const std::string&,
                                    const std::string& code,
                                    std::chrono::microseconds) {
  ++codes[code];
}

void RecordingMetrics::OnInvariantViolated(const std::string& invariant) {
  ++violations[invariant];
}

CoreFixture::CoreFixture()
    : client(store, 0, log),
      models_section(ModelsSection()),
      core(Options(),
           CorePorts{callers, endpoints, client, client, ratings, peers,
                     operators, clock, random, log, metrics}) {
  for (const char* id : {"e0", "e1", "s0"}) {
    endpoint_start_times[EndpointId(id)] = kInitialStartTime;
  }
  PutSection("models", models_section);
  PutSection("client_accounts", AccountsSection());
  PutSection("data_centres", DataCentresSection());
  InstanceListRead list;
  list.ok = true;
  list.endpoints = {Engine("e0"), Engine("e1"), Ledger("s0")};
  core.Handle(list);
  // Longer than CoreOptions::share_transition, for which shares are held back
  // after a configuration change.
  Advance(std::chrono::seconds(15));
  REQUIRE(core.ready());
}

void CoreFixture::PutSection(const std::string& section, const json& text) {
  TableRow& row = store.rows["config/" + section];
  row.key = "config/" + section;
  ++row.version;
  row.value = json({{"revision", row.version},
                    {"text", text.dump()},
                    {"author", "test"},
                    {"changed_at", 0}})
                  .dump();
  Advance(std::chrono::seconds(3));
}

void CoreFixture::ProcessPendingReplies() {
  while (!store.calls.empty() || !client.inbox.empty()) {
    if (!store.calls.empty()) {
      FakeStore::Call call = std::move(store.calls.front());
      store.calls.pop_front();
      core.Handle(store.Apply(call));
    }
    while (!client.inbox.empty()) {
      auto reply = std::move(client.inbox.front());
      client.inbox.pop_front();
      std::visit([this](auto& typed) { core.Handle(std::move(typed)); }, reply);
    }
  }
}

void CoreFixture::AnswerProbes() {
  std::vector<EndpointId> due = std::move(endpoints.probes);
  endpoints.probes.clear();
  for (const EndpointId& endpoint : due) {
    ProbeResult result;
    result.endpoint = endpoint;
    result.reachable = endpoint_start_times[endpoint].count() > 0;
    result.incarnation.start_time = endpoint_start_times[endpoint];
    result.uptime = endpoint_start_times[endpoint] == kInitialStartTime
                        ? std::chrono::milliseconds(kUptime)
                        : std::chrono::milliseconds(0);
    result.round_trip = std::chrono::microseconds(300);
    core.Handle(result);
  }
}

void CoreFixture::Advance(std::chrono::milliseconds time) {
  TimePoint end = clock.now + time;
  while (clock.now < end) {
    clock.now += kTick;
    core.Tick();
    ProcessPendingReplies();
    AnswerProbes();
  }
}

CallerId CoreFixture::Submit(CallerRequest request) {
  CallerId caller{next_caller_++};
  request.caller = caller;
  request.received = clock.now;
  request.headers.push_back({"Authorization", "Bearer key"});
  core.Handle(std::move(request));
  ProcessPendingReplies();
  return caller;
}

CallerId CoreFixture::Chat(const std::string& prompt,
                           bool stream,
                           std::vector<HttpHeader> headers) {
  CallerRequest request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = std::move(headers);
  request.body =
      json({{"model", "small"},
            {"stream", stream},
            {"messages",
             json::array({{{"role", "user"}, {"content", prompt}}})}})
          .dump();
  return Submit(std::move(request));
}

CallerId CoreFixture::ChatWithBody(std::string body) {
  CallerRequest request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.body = std::move(body);
  return Submit(std::move(request));
}

CallerId CoreFixture::Post(const std::string& path,
                           const std::string& key,
                           const std::string& body) {
  CallerRequest request;
  request.method = "POST";
  request.path = "/services/ledger" + path;
  request.body = body;
  if (!key.empty()) {
    request.headers.push_back({"Idempotency-Key", key});
  }
  return Submit(std::move(request));
}

const AttemptSpec& CoreFixture::LastAttempt() const {
  REQUIRE(!endpoints.started.empty());
  return endpoints.started.back();
}

void CoreFixture::Sent(const AttemptSpec& attempt) {
  core.Handle(AttemptSent{attempt.attempt});
}

void CoreFixture::Head(const AttemptSpec& attempt,
                       int status,
                       std::vector<HttpHeader> headers,
                       bool own_connection) {
  core.Handle(
      AttemptHead{attempt.attempt, status, std::move(headers), own_connection});
}

void CoreFixture::Stream(const AttemptSpec& attempt,
                         const std::vector<std::string>& pieces) {
  Sent(attempt);
  Head(attempt, 200, {{"Content-Type", "text/event-stream"}});
  for (const std::string& piece : pieces) {
    json chunk = {{"choices", json::array({{{"index", 0},
                                            {"delta", {{"content", piece}}},
                                            {"finish_reason", nullptr}}})}};
    core.Handle(AttemptData{attempt.attempt, "data: " + chunk.dump() + "\n\n"});
  }
}

void CoreFixture::EndStream(const AttemptSpec& attempt) {
  json chunk = {{"choices", json::array({{{"index", 0},
                                          {"delta", json::object()},
                                          {"finish_reason", "stop"}}})}};
  core.Handle(AttemptData{attempt.attempt,
                          "data: " + chunk.dump() + "\n\ndata: [DONE]\n\n"});
  End(attempt, AttemptOutcome::kComplete);
}

void CoreFixture::End(const AttemptSpec& attempt, AttemptOutcome outcome) {
  core.Handle(AttemptEnd{attempt.attempt, attempt.endpoint, outcome, ""});
  ProcessPendingReplies();
}

void CoreFixture::Crash(const AttemptSpec& attempt) {
  AttemptSpec copy = attempt;
  endpoint_start_times[copy.endpoint] = std::chrono::milliseconds(0);
  End(copy, AttemptOutcome::kBroken);
  AnswerProbes();
  ProcessPendingReplies();
}

void CoreFixture::Restart(const EndpointId& endpoint) {
  endpoint_start_times[endpoint] =
      kInitialStartTime +
      std::chrono::milliseconds(clock.now.time_since_epoch().count());
  Advance(std::chrono::seconds(3));
}

std::string CoreFixture::ErrorField(CallerId caller, const char* field) {
  json body = json::parse(Record(caller).body, nullptr, false);
  bool is_error = body.is_object() && body.contains("error");
  return is_error ? body["error"].value(field, "") : "";
}

std::string CoreFixture::StreamText(CallerId caller) {
  ChatAnswer answer;
  for (const ChatEvent& event : ParseChatEvents(Record(caller).body)) {
    if (event.kind == ChatEvent::Kind::kChunk) {
      answer.Add(event.chunk);
    }
  }
  return answer.text();
}

}  // namespace filbertshift
