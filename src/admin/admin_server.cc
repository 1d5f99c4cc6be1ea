#include "src/admin/admin_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <stdexcept>
#include <streambuf>
#include <thread>
#include <utility>

#include "src/admin/admin_router.h"
#include "src/admin/operator_calls.h"

namespace filbertshift {

namespace {

constexpr std::chrono::milliseconds kIdleTimeout{10000};
// Threads reserved for metrics and readiness while operator calls wait for the
// core.
constexpr unsigned kReservedThreads = 2;

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 411:
      return "Length Required";
    case 413:
      return "Content Too Large";
    case 414:
      return "URI Too Long";
    case 422:
      return "Unprocessable Content";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

// Handles one request at a time. Reads the body itself because the library does
// not limit its size.
class AdminResponder : public cxxtools::http::Responder {
 public:
  AdminResponder(cxxtools::http::Service& service,
                 const AdminRouter& router,
                 std::size_t max_body_bytes)
      : Responder(service), router_(router), max_body_bytes_(max_body_bytes) {}

  void beginRequest(cxxtools::net::TcpSocket&,
                    std::istream&,
                    cxxtools::http::Request& request) override {
    body_.clear();
    remaining_bytes_ = request.header().contentLength();
    body_too_large_ = remaining_bytes_ > max_body_bytes_;
  }

  // Stops at Content-Length; further bytes belong to the next request on the
  // connection.
  std::size_t readBody(std::istream& in) override {
    std::streambuf* buffer = in.rdbuf();
    std::size_t count = 0;
    while (remaining_bytes_ > 0 && buffer->in_avail() > 0) {
      int byte = buffer->sbumpc();
      if (byte == std::streambuf::traits_type::eof()) {
        break;
      }
      if (!body_too_large_) {
        body_ += static_cast<char>(byte);
      }
      --remaining_bytes_;
      ++count;
    }
    return count;
  }

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    AdminRequest admin_request;
    admin_request.method = request.method();
    admin_request.path = request.url();
    admin_request.query = request.qparams();
    admin_request.body = std::move(body_);
    admin_request.body_too_large = body_too_large_;
    admin_request.length_missing = !request.hasHeader("Content-Length");
    AdminResponse response = router_.Handle(admin_request);
    reply.setHeader("Content-Type", response.content_type.c_str());
    if (!response.allow.empty()) {
      reply.setHeader("Allow", response.allow.c_str());
    }
    reply.httpReturn(static_cast<unsigned>(response.http_status),
                     std::string(ReasonPhrase(response.http_status)));
    out << response.body;
  }

 private:
  const AdminRouter& router_;
  const std::size_t max_body_bytes_;
  std::string body_;
  std::size_t remaining_bytes_ = 0;
  bool body_too_large_ = false;
};

class AdminService : public cxxtools::http::Service {
 public:
  AdminService(const AdminRouter& router, std::size_t max_body_bytes)
      : router_(router), max_body_bytes_(max_body_bytes) {}

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request&) override {
    return new AdminResponder(*this, router_, max_body_bytes_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

 private:
  const AdminRouter& router_;
  const std::size_t max_body_bytes_;
};

struct ListenAddress {
  std::string ip;
  unsigned short port = 0;
};

ListenAddress ParseListenAddress(const std::string& text) {
  std::size_t colon = text.rfind(':');
  ListenAddress address;
  const char* end = text.data() + text.size();
  std::errc error = std::errc::invalid_argument;
  const char* parse_end = end;
  if (colon != std::string::npos) {
    auto result = std::from_chars(text.data() + colon + 1, end, address.port);
    error = result.ec;
    parse_end = result.ptr;
  }
  if (error != std::errc() || parse_end != end) {
    throw std::invalid_argument(
        "invalid listen address (expected ip:port): \"" + text + "\"");
  }
  address.ip = text.substr(0, colon);
  if (address.ip.size() > 2 && address.ip.front() == '[') {
    address.ip = address.ip.substr(1, address.ip.size() - 2);
  }
  return address;
}

}  // namespace

struct AdminServer::Impl {
  Impl(AdminServerOptions server_options,
       CoreRing& ring,
       const StderrEventLog& log,
       const prometheus::Registry& registry,
       const std::atomic<bool>& ready)
      : options(std::move(server_options)),
        calls(ring,
              options.reply_timeout,
              std::max(options.max_threads, kReservedThreads + 1) -
                  kReservedThreads),
        router({options.instance, options.data_centre},
               calls,
               log,
               registry,
               ready),
        service(router, options.max_body_bytes) {}

  const AdminServerOptions options;
  OperatorCalls calls;
  const AdminRouter router;
  AdminService service;
  cxxtools::EventLoop loop;
  // Declared after the loop and the service because it uses both when it is
  // destroyed.
  std::optional<cxxtools::http::Server> server;
  std::thread thread;
};

AdminServer::AdminServer(AdminServerOptions options,
                         CoreRing& ring,
                         const StderrEventLog& log,
                         const prometheus::Registry& registry,
                         const std::atomic<bool>& ready)
    : impl_(std::make_unique<Impl>(std::move(options),
                                   ring,
                                   log,
                                   registry,
                                   ready)) {}

AdminServer::~AdminServer() {
  Stop();
}

void AdminServer::Start() {
  ListenAddress address = ParseListenAddress(impl_->options.listen);
  // The library's listening constructor leaks when it throws, so listen()
  // is called separately.
  cxxtools::http::Server& server = impl_->server.emplace(impl_->loop);
  server.listen(address.ip, address.port);
  cxxtools::Milliseconds timeout(kIdleTimeout.count());
  server.readTimeout(timeout);
  server.writeTimeout(timeout);
  server.keepAliveTimeout(timeout);
  server.minThreads(kReservedThreads);
  server.maxThreads(std::max(impl_->options.max_threads, kReservedThreads + 1));
  server.addService(cxxtools::Regex(".*"), impl_->service);
  impl_->thread = std::thread([this] { impl_->loop.run(); });
}

void AdminServer::Stop() {
  impl_->calls.Close();
  if (impl_->thread.joinable()) {
    impl_->loop.exit();
    impl_->thread.join();
  }
  impl_->server.reset();
}

void AdminServer::Reply(OperatorReply reply) {
  impl_->calls.Reply(std::move(reply));
}

}  // namespace filbertshift
