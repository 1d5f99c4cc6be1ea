// A streaming HTTP server based on libmicrohttpd. It can be stopped and
// restarted on the same port, to emulate a crash and restart of its process.

#ifndef EMULATOR_HTTP_HTTP_SERVER_H_
#define EMULATOR_HTTP_HTTP_SERVER_H_

#include <microhttpd.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "emulator/http/http_message.h"
#include "emulator/http/listen_address.h"

namespace filbertshift::emulator {

// Identifies a request and its response; unique within one server.
enum class ExchangeId : std::uint64_t {};

class HttpServer;

// Both methods are called on the server thread and must not block.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  // Called when the whole request has been received. The response may be sent
  // later and from any thread.
  virtual void OnRequest(HttpServer& server,
                         ExchangeId exchange,
                         HttpRequest request) = 0;
  // Called when the client has closed the connection before the response was
  // complete, or when the server has cut it.
  virtual void OnBroken(HttpServer& server, ExchangeId exchange) = 0;
};

// All methods except the constructor, Start and Stop are thread-safe. Calls for
// an exchange that has ended have no effect.
class HttpServer {
 public:
  // Binds the port and keeps it bound for the lifetime of the object, so that
  // no other process can bind it while the server is stopped. Throws
  // std::system_error.
  HttpServer(ListenAddress address, HttpHandler& handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts to accept connections. No effect if already started. Throws
  // std::runtime_error.
  void Start();
  // Closes all connections and refuses new ones. Must not be called on the
  // server thread, nor while holding a lock that the handler acquires.
  void Stop();

  const ListenAddress& address() const { return address_; }

  // Adds the fields to every response from now on.
  void SetExtraHeaders(std::vector<HttpField> headers);
  void Respond(ExchangeId exchange, HttpResponse response);
  void StartStream(ExchangeId exchange,
                   int status,
                   std::vector<HttpField> headers);
  void SendBytes(ExchangeId exchange, std::string_view bytes);
  void FinishStream(ExchangeId exchange);
  // Closes the connection without a complete response.
  void Cut(ExchangeId exchange);

  // Aborts exchanges whose client has closed the connection. Must be called
  // periodically, because libmicrohttpd does not poll the socket of a suspended
  // connection.
  void DetectDisconnects();

 private:
  enum class State { kReading, kWaiting, kReady, kStreaming, kFinished, kCut };

  struct Exchange {
    ExchangeId id{};
    MHD_Connection* connection = nullptr;
    State state = State::kReading;
    HttpRequest request;
    HttpResponse response;
    bool streaming = false;
    // Stream data not yet passed to libmicrohttpd.
    std::string pending;
    // Invariant: true if and only if the connection is suspended in
    // libmicrohttpd.
    bool suspended = false;
  };

  static MHD_Result OnAccess(void* server,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* upload_data,
                             std::size_t* upload_data_size,
                             void** context);
  static void OnCompleted(void* server,
                          MHD_Connection* connection,
                          void** context,
                          MHD_RequestTerminationCode code);
  static ssize_t OnReadStream(void* context,
                              std::uint64_t position,
                              char* buffer,
                              std::size_t size);

  Exchange* AddExchange(MHD_Connection* connection,
                        const char* url,
                        const char* method);
  MHD_Result Dispatch(Exchange* exchange);
  MHD_Result QueueResponse(Exchange* exchange);
  Exchange* Find(ExchangeId exchange);
  void ResumeLocked(Exchange* exchange);

  ListenAddress address_;
  HttpHandler& handler_;
  // Bound but never listening; keeps the port while the server is stopped.
  int reserved_socket_ = -1;
  MHD_Daemon* daemon_ = nullptr;

  std::mutex mutex_;
  bool stopping_ = false;
  std::uint64_t last_id_ = 0;
  std::vector<HttpField> extra_headers_;
  std::map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_HTTP_HTTP_SERVER_H_
