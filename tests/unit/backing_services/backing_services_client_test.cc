// Tests of the client of the backing services against a scripted HTTP server on
// loopback.

#include <arpa/inet.h>
#include <microhttpd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "src/backing_services/backing_services.h"
#include "src/backing_services/instance_list_format.h"
#include "src/backing_services/table_protocol.h"
#include "tests/unit/ledger/fake_table.h"
#include "tests/unit/support/small_stack.h"

namespace filbertshift {
namespace {

using Json = nlohmann::json;

struct ServerRequest {
  std::string method;
  std::string url;
  std::string target;
  std::string body;
};

struct ServerReply {
  unsigned status = 200;
  std::string body = "{}";
  // Closes the connection without a reply.
  bool close = false;
  std::chrono::milliseconds delay{0};
};

// Replies to each request with the result of `handler`, on its own threads.
class ScriptedServer {
 public:
  using Handler = std::function<ServerReply(const ServerRequest&)>;

  explicit ScriptedServer(Handler handler) : handler_(std::move(handler)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    daemon_ = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0,
        nullptr, nullptr, &ScriptedServer::Handle, this, MHD_OPTION_SOCK_ADDR,
        &address, MHD_OPTION_END);
    REQUIRE(daemon_ != nullptr);
  }
  ~ScriptedServer() { MHD_stop_daemon(daemon_); }

  std::string address() const {
    const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    return "127.0.0.1:" + std::to_string(info->port);
  }

  std::vector<ServerRequest> requests() {
    std::lock_guard<std::mutex> lock(mutex_);
    return requests_;
  }

 private:
  static MHD_Result Handle(void* self,
                           MHD_Connection* connection,
                           const char* url,
                           const char* method,
                           const char*,
                           const char* data,
                           size_t* size,
                           void** state) {
    if (*state == nullptr) {
      *state = new std::string;
      return MHD_YES;
    }
    auto* body = static_cast<std::string*>(*state);
    if (*size > 0) {
      body->append(data, *size);
      *size = 0;
      return MHD_YES;
    }
    const char* target = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, "X-Amz-Target");
    const ServerRequest request{method, url, target ? target : "", *body};
    delete body;
    *state = nullptr;
    return static_cast<ScriptedServer*>(self)->Respond(connection, request);
  }

  MHD_Result Respond(MHD_Connection* connection, const ServerRequest& request) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      requests_.push_back(request);
    }
    const ServerReply reply = handler_(request);
    std::this_thread::sleep_for(reply.delay);
    if (reply.close) {
      return MHD_NO;
    }
    MHD_Response* response = MHD_create_response_from_buffer(
        reply.body.size(), const_cast<char*>(reply.body.data()),
        MHD_RESPMEM_MUST_COPY);
    const MHD_Result result =
        MHD_queue_response(connection, reply.status, response);
    MHD_destroy_response(response);
    return result;
  }

  const Handler handler_;
  MHD_Daemon* daemon_ = nullptr;
  std::mutex mutex_;
  std::vector<ServerRequest> requests_;
};

struct Client {
  explicit Client(
      const std::string& address,
      std::chrono::milliseconds timeout = std::chrono::milliseconds(2000))
      : core(1000), backing_services(Options(address, timeout), core, log) {}

  static BackingServicesOptions Options(const std::string& address,
                                        std::chrono::milliseconds timeout) {
    BackingServicesOptions options;
    options.table_address = address;
    options.table_name = "t";
    options.object_store_address = address;
    options.object_store_bucket = "b";
    options.rating_address = address;
    options.timeout = timeout;
    return options;
  }

  // Waits for the next reply of the given type.
  template <class Reply>
  Reply Wait() {
    for (int i = 0; i < 100; ++i) {
      std::vector<CoreMessage> messages;
      core.Wait(std::chrono::milliseconds(100));
      core.PopAll(&messages);
      for (CoreMessage& message : messages) {
        if (auto* reply = std::get_if<Reply>(&message)) {
          return *reply;
        }
      }
    }
    FAIL("no reply");
    return Reply();
  }

  TableReply Write() {
    backing_services.Submit(OperationId{7}, {"token", {{"a", 0, "{}"}}});
    return Wait<TableReply>();
  }

  FakeEventLog log;
  CoreRing core;
  BackingServicesClient backing_services;
};

TableOutcome WriteOutcome(const ServerReply& reply) {
  ScriptedServer server([&reply](const ServerRequest&) { return reply; });
  Client client(server.address(), std::chrono::milliseconds(300));
  const TableReply result = client.Write();
  CHECK(result.operation == OperationId{7});
  CHECK(server.requests().size() == 1);
  return result.outcome;
}

std::string ErrorBody(const std::string& type) {
  return R"({"__type":"com.amazonaws.dynamodb.v20120810#)" + type + R"("})";
}

// Guards against a write that is reported as applied or not applied although
// the reply does not prove it.
TEST_CASE("write outcomes claim only what the reply proves", "[platform]") {
  const std::string cancelled =
      R"({"__type":"x#TransactionCanceledException","CancellationReasons":)";
  CHECK(WriteOutcome({200, "{}"}) == TableOutcome::kOk);
  CHECK(WriteOutcome({400, cancelled + R"([{"Code":"None"},
        {"Code":"ConditionalCheckFailed"}]})"}) == TableOutcome::kConflict);
  CHECK(WriteOutcome({400, cancelled + R"([{"Code":"ThrottlingError"}]})"}) ==
        TableOutcome::kNotApplied);
  CHECK(WriteOutcome({400, ErrorBody("ThrottlingException")}) ==
        TableOutcome::kNotApplied);
  CHECK(WriteOutcome({503, "busy"}) == TableOutcome::kNotApplied);
  CHECK(WriteOutcome({400, ErrorBody("TransactionInProgressException")}) ==
        TableOutcome::kUnknown);
  CHECK(WriteOutcome({500, "{}"}) == TableOutcome::kUnknown);
  CHECK(WriteOutcome({200, "<html>"}) == TableOutcome::kUnknown);
  CHECK(WriteOutcome({400, "[1"}) == TableOutcome::kUnknown);
  CHECK(WriteOutcome({400, cancelled + "7}"}) == TableOutcome::kUnknown);
  CHECK(WriteOutcome({200, "{}", true}) == TableOutcome::kUnknown);
  CHECK(WriteOutcome({200, "{}", false, std::chrono::milliseconds(600)}) ==
        TableOutcome::kUnknown);
}

// Guards against a refused connection that counts as a possible write, which
// would turn correct not_run errors into unknown ones.
TEST_CASE("a refused connection is not applied", "[platform]") {
  std::string address;
  {
    ScriptedServer server([](const ServerRequest&) { return ServerReply(); });
    address = server.address();
  }
  Client client(address);
  CHECK(client.Write().outcome == TableOutcome::kNotApplied);
}

// Guards against a request that the HTTP client resends when the service closes
// a reused connection: the second one could report a conflict for a write that
// was applied.
TEST_CASE("a write is never sent twice", "[platform]") {
  std::atomic<int> count{0};
  ScriptedServer server([&count](const ServerRequest&) {
    ServerReply reply;
    reply.close = ++count == 2;
    return reply;
  });
  Client client(server.address());
  CHECK(client.Write().outcome == TableOutcome::kOk);
  CHECK(client.Write().outcome == TableOutcome::kUnknown);
  CHECK(server.requests().size() == 2);
}

// Guards against a request that the published protocol does not allow.
TEST_CASE("transactions follow the published protocol", "[platform]") {
  ScriptedServer server([](const ServerRequest&) { return ServerReply(); });
  Client client(server.address());
  TableTransaction transaction{"token", {}};
  transaction.writes.push_back({"new", 0, "{}"});
  transaction.writes.push_back({"old", 4, "{}"});
  transaction.writes.push_back({"gone", 2, "", true});
  transaction.writes.push_back({"seen", 3, "", false, true});
  client.backing_services.Submit(OperationId{1}, transaction);
  CHECK(client.Wait<TableReply>().outcome == TableOutcome::kOk);
  const ServerRequest request = server.requests().at(0);
  CHECK(request.target == "DynamoDB_20120810.TransactWriteItems");
  const Json expected = Json::parse(R"json({"ClientRequestToken":"token",
    "TransactItems":[
    {"Put":{"TableName":"t","ConditionExpression":"attribute_not_exists(pk)",
      "Item":{
    "pk" : {"S" : "new"}, "ver" : {"N" : "1"}, "v" : {
      "S" : "{}"
    }}
}
},
    {"Put":{"TableName":"t","ConditionExpression":"ver = :v",
      "ExpressionAttributeValues":{":v":{"N":"4"}},
      "Item":{"pk":{"S":"old"},"ver":{"N":"5"},"v":{"S":"{}"}}}},
    {"Delete":{"TableName":"t","ConditionExpression":"ver = :v",
      "ExpressionAttributeValues":{":v":{"N":"2"}},
      "Key":{"pk":{"S":"gone"}}}},
    {"ConditionCheck":{"TableName":"t","ConditionExpression":"ver = :v",
      "ExpressionAttributeValues":{":v":{"N":"3"}},
      "Key":{"pk":{"S":"seen"}}}}]
})json");
  CHECK(Json::parse(request.body) == expected);
  transaction.writes.assign(101, {"k", 0, "{}"});
  client.backing_services.Submit(OperationId{2}, transaction);
  CHECK(client.Wait<TableReply>().outcome == TableOutcome::kNotApplied);
  CHECK(server.requests().size() == 1);
}

Json Item(const std::string& key) {
  return {{"pk", {{"S", key}}}, {"ver", {{"N", "3"}}}, {"v", {{"S", "{}"}}}};
}

// Guards against keys that are reported as missing because the service was
// busy.
TEST_CASE("unprocessed keys are read again", "[platform]") {
  ScriptedServer server([](const ServerRequest& request) {
    const Json keys =
        Json::parse(request.body).at("RequestItems").at("t").at("Keys");
    Json reply = {{"Responses", {{"t", {Item(keys[0]["pk"]["S"])}}}}};
    if (keys.size() > 1) {
      reply["UnprocessedKeys"]["t"]["Keys"] = {keys[1]};
    }
    return ServerReply{200, reply.dump()};
  });
  Client client(server.address());
  client.backing_services.Get(OperationId{1},
                              std::vector<std::string>{"a", "b"});
  const TableReply reply = client.Wait<TableReply>();
  REQUIRE(reply.rows.size() == 2);
  CHECK(reply.rows[0].key == "a");
  CHECK(reply.rows[1].key == "b");
  CHECK(reply.rows[1].version == 3);
}

// Guards against a crash or an invented row when the service sends malformed
// data.
TEST_CASE("malformed reads are errors", "[platform]") {
  const std::string body = GENERATE(
      "", "[]", "{\"Responses\":[]}", "{\"Responses\":{\"t\":[{\"pk\":1}]}}",
      R"({"Responses":{"t":[{"pk":{"S":"a"},"ver":{"N":"x"},"v":{"S":""}}]}})",
      "\xff\xfe");
  ScriptedServer server([&body](const ServerRequest&) {
    return ServerReply{200, body};
  });
  Client client(server.address());
  client.backing_services.Get(OperationId{1}, std::vector<std::string>{"a"});
  const TableReply reply = client.Wait<TableReply>();
  CHECK(reply.outcome == TableOutcome::kUnknown);
  CHECK(reply.rows.empty());
}

// Guards against a prefix read that ends after the first page or is out of
// order.
TEST_CASE("a prefix read joins all pages in key order", "[platform]") {
  ScriptedServer server([](const ServerRequest& request) {
    const Json body = Json::parse(request.body);
    Json reply = {{"Items", {Item("p/3")}}, {"LastEvaluatedKey", Json()}};
    reply["LastEvaluatedKey"] = {{"pk", {{"S", "p/3"}}}};
    if (body.contains("ExclusiveStartKey")) {
      reply = {{"Items", {Item("p/2"), Item("p/1")}}};
    }
    return ServerReply{200, reply.dump()};
  });
  Client client(server.address());
  client.backing_services.Query(OperationId{1}, "p/", "", 2);
  const TableReply reply = client.Wait<TableReply>();
  REQUIRE(reply.rows.size() == 2);
  CHECK(reply.rows[0].key == "p/1");
  CHECK(reply.rows[1].key == "p/2");
  CHECK(reply.has_more);
  CHECK(server.requests().size() == 2);
}

// Guards against objects that are stored and read under different names, and
// against bytes that change in transit.
TEST_CASE("objects are stored path-style and unchanged", "[platform]") {
  std::map<std::string, std::string> objects;
  ScriptedServer server([&objects](const ServerRequest& request) {
    if (request.method == "PUT") {
      objects[request.url] = request.body;
      return ServerReply{200, ""};
    }
    if (request.method == "DELETE") {
      objects.erase(request.url);
      return ServerReply{204, ""};
    }
    return objects.count(request.url) > 0
               ? ServerReply{200, objects[request.url]}
               : ServerReply{404, "<Error/>"};
  });
  Client client(server.address());
  const std::string bytes("\0\xff body", 7);
  client.backing_services.Put(OperationId{1}, "exec/a%2Fb/k", bytes);
  CHECK(client.Wait<ObjectReply>().outcome == ObjectOutcome::kOk);
  CHECK(objects.count("/b/exec/a%2Fb/k") == 1);
  client.backing_services.Get(OperationId{2}, std::string("exec/a%2Fb/k"));
  CHECK(client.Wait<ObjectReply>().bytes == bytes);
  client.backing_services.Remove(OperationId{3}, "exec/a%2Fb/k");
  CHECK(client.Wait<ObjectReply>().outcome == ObjectOutcome::kOk);
  client.backing_services.Get(OperationId{4}, std::string("exec/a%2Fb/k"));
  CHECK(client.Wait<ObjectReply>().outcome == ObjectOutcome::kMissing);
}

// Guards against a partial list, which would look like a loss of endpoints.
TEST_CASE("the instance list is read and polled", "[platform]") {
  const std::string list = R"([
    {"targets":["127.0.0.1:1"],"labels":{"id":"e1","data_centre":"d",
     "role":"model_engine","model":"m","version":"v","state":"leaving"}},
    {"targets":["127.0.0.1:2"],"labels":{"id":"e2","data_centre":"d",
     "role":"plain_service","service":"s","state":"live"}},
    {"targets":["127.0.0.1:3"],"labels":{"id":"i1","data_centre":"d",
     "role":"entry","state":"live"}}])";
  std::atomic<int> count{0};
  ScriptedServer server([&](const ServerRequest&) {
    return ServerReply{200, ++count == 1 ? list : R"([{"targets":[]}])"};
  });
  BackingServicesOptions options;
  options.instance_list_address = server.address();
  options.instance_list_poll_interval = std::chrono::milliseconds(50);
  Client client("127.0.0.1:1");
  BackingServicesClient poller(options, client.core, client.log);
  const auto read = client.Wait<InstanceListRead>();
  REQUIRE(read.ok);
  REQUIRE(read.endpoints.size() == 2);
  CHECK(read.endpoints[0].leaving);
  CHECK(read.endpoints[0].version == VersionId("v"));
  CHECK(read.endpoints[1].kind == EndpointKind::kPlainService);
  REQUIRE(read.instances.size() == 1);
  CHECK(read.instances[0].peer_address == "127.0.0.1:3");
  CHECK(server.requests().at(0).url == "/instances");
  const auto malformed = client.Wait<InstanceListRead>();
  CHECK_FALSE(malformed.ok);
  CHECK(malformed.endpoints.empty());
}

// Guards against a list that is no longer followed because of one entry that
// cannot be read.
TEST_CASE("one odd entry of the instance list costs only itself",
          "[platform]") {
  const std::string odd = GENERATE_COPY(
      as<std::string>(), "7", "null", "{}", R"({"targets":[]})",
      R"({"targets":["127.0.0.1:2"],"labels":7})",
      R"({"targets":["127.0.0.1:2"],"labels":{"id":"e2","data_centre":"d",
       "role":"plain_service","service":"s","state":"asleep"}})",
      R"({"targets":["127.0.0.1:2"],"labels":{"id":"","data_centre":"d",
       "role":"plain_service","service":"s","state":"live"}})",
      R"({"targets":["127.0.0.1:2"],"labels":{"id":"e\r\n2",
       "data_centre":"d","role":"plain_service","service":"s",
       "state":"live"}})",
      R"({"targets":["127.0.0.1:70000"],"labels":{"id":"e2",
       "data_centre":"d","role":"plain_service","service":"s",
       "state":"live"}})",
      R"({"targets":["host:80"],"labels":{"id":"e2","data_centre":"d",
       "role":"plain_service","service":"s","state":"live"}})");
  INFO(odd);
  const std::string good =
      R"({"targets":["127.0.0.1:1"],"labels":{"id":"e1","data_centre":"d",
       "role":"model_engine","model":"m","version":"v","state":"live"}})";
  ScriptedServer server([&](const ServerRequest&) {
    return ServerReply{200, "[" + odd + "," + good + "]"};
  });
  BackingServicesOptions options;
  options.instance_list_address = server.address();
  options.instance_list_poll_interval = std::chrono::milliseconds(20);
  Client client("127.0.0.1:1");
  BackingServicesClient poller(options, client.core, client.log);
  for (int i = 0; i < 3; ++i) {
    const auto read = client.Wait<InstanceListRead>();
    CHECK(read.ok);
    REQUIRE(read.endpoints.size() == 1);
    CHECK(read.endpoints[0].endpoint == EndpointId("e1"));
    CHECK_FALSE(read.detail.empty());
  }
}

// Guards against a process that ends: copying a deep document recurses.
TEST_CASE("a deep reply of a backing service is malformed", "[platform]") {
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  const HttpResult result = [&deep] {
    HttpResult reply;
    reply.sent = true;
    reply.complete = true;
    reply.status = 200;
    reply.body = "{\"Responses\":{},\"UnprocessedKeys\":{\"t\":" + deep + "}}";
    return reply;
  }();
  TableOutcome outcome = TableOutcome::kOk;
  bool ok = true;
  RunOnSmallStack([&] {
    outcome = DecodeBatchGet("t", result).outcome;
    ok = DecodeInstanceList(deep).ok;
  });
  CHECK(outcome == TableOutcome::kUnknown);
  CHECK_FALSE(ok);
}

// Guards against scores outside the scale, which would skip an escalation.
TEST_CASE("scores outside 0 to 1 are rejected", "[platform]") {
  const std::string body =
      GENERATE(R"({"score":0.5})", R"({"score":7})", R"({"score":"x"})", "");
  ScriptedServer server([&body](const ServerRequest&) {
    return ServerReply{200, body};
  });
  Client client(server.address());
  client.backing_services.Rate(OperationId{1}, RatingQuery());
  CHECK(client.Wait<RatingReply>().ok == (body == R"({"score":0.5})"));
  CHECK(server.requests().at(0).url == "/rate");
}

// Guards against unbounded memory use when a backing service hangs.
TEST_CASE("calls beyond max_pending are rejected", "[platform]") {
  ScriptedServer server([](const ServerRequest&) {
    return ServerReply{200, "{}", false, std::chrono::milliseconds(300)};
  });
  FakeEventLog log;
  CoreRing core(10);
  BackingServicesOptions options =
      Client::Options(server.address(), std::chrono::seconds(1));
  options.max_pending = 2;
  BackingServicesClient backing_services(options, core, log);
  CHECK(backing_services.Get(OperationId{1}, std::string("x")));
  CHECK(backing_services.Get(OperationId{2}, std::string("y")));
  CHECK_FALSE(backing_services.Get(OperationId{3}, std::string("z")));
}

}  // namespace
}  // namespace filbertshift
