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
// Threads that stay free for metrics and readiness while calls wait for the
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

// One call. Reads the body itself, because the library sets no bound on it.
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
    remaining_ = request.header().contentLength();
    too_large_ = remaining_ > max_body_bytes_;
  }

  // Bytes beyond the length belong to the next request of the connection.
  std::size_t readBody(std::istream& in) override {
    std::streambuf* buffer = in.rdbuf();
    std::size_t count = 0;
    while (remaining_ > 0 && buffer->in_avail() > 0) {
      int byte = buffer->sbumpc();
      if (byte == std::streambuf::traits_type::eof()) {
        break;
      }
      if (!too_large_) {
        body_ += static_cast<char>(byte);
      }
      --remaining_;
      ++count;
    }
    return count;
  }

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    AdminRequest call;
    call.method = request.method();
    call.path = request.url();
    call.query = request.qparams();
    call.body = std::move(body_);
    call.body_too_large = too_large_;
    call.length_missing = !request.hasHeader("Content-Length");
    AdminResponse response = router_.Handle(call);
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
  std::size_t remaining_ = 0;
  bool too_large_ = false;
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
  const char* stop = end;
  if (colon != std::string::npos) {
    auto result = std::from_chars(text.data() + colon + 1, end, address.port);
    error = result.ec;
    stop = result.ptr;
  }
  if (error != std::errc() || stop != end) {
    throw std::invalid_argument("not an address: \"" + text + "\"");
  }
  address.ip = text.substr(0, colon);
  if (address.ip.size() > 2 && address.ip.front() == '[') {
    address.ip = address.ip.substr(1, address.ip.size() - 2);
  }
  return address;
}

}  // namespace

struct AdminServer::Impl {
  Impl(AdminServerOptions given,
       CoreRing& ring,
       const StderrEventLog& log,
       const prometheus::Registry& registry,
       const std::atomic<bool>& ready)
      : options(std::move(given)),
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
  // Destroyed before the loop and the service that it uses.
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
  // The constructor of the library that listens too leaks when it throws.
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
