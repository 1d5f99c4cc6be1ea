// Stand-ins for the cases in review/: the platform's store, a worker, a client,
// and processes of the project. They follow the users' protocol page. Header
// only, POSIX sockets and threads, loopback addresses only.

#ifndef REVIEW_STANDIN_STANDIN_H_
#define REVIEW_STANDIN_STANDIN_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using nlohmann::json;

inline double NowMs() {
  using namespace std::chrono;
  static const steady_clock::time_point start = steady_clock::now();
  return duration<double, std::milli>(steady_clock::now() - start).count();
}

inline void SleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::microseconds(
      static_cast<std::int64_t>(std::max(ms, 0.0) * 1000)));
}

// Lines of record.txt: milliseconds since the start and what happened.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")) {}
  void Write(const char* format, ...) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    std::lock_guard<std::mutex> lock(mutex_);
    if (file_ != nullptr) {
      std::fprintf(file_, "%10.1f %s\n", NowMs(), text);
      std::fflush(file_);
    }
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// ---------------------------------------------------------------- sockets

inline int ListenOnFreePort(int* port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(*port));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}

inline int FreePort() {
  int port = 0;
  int fd = ListenOnFreePort(&port);
  close(fd);
  return port;
}

inline int ConnectTo(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, const std::string& data) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    ssize_t size =
        send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

// Closes with a reset.
inline void ResetConnection(int fd) {
  linger option{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  close(fd);
}

// Whether the peer has closed or reset the connection.
inline bool PeerGone(int fd) {
  char byte = 0;
  ssize_t size = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// ------------------------------------------------------------------- HTTP

struct Message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  // The message arrived as a whole.
  bool complete = false;
  // The connection ended: 0 not, 1 closed, 2 reset, 3 time-out.
  int end = 0;
  int status() const {
    return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
  }
  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return std::string();
  }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    std::size_t at = start.find(' ');
    return start.substr(at + 1, start.find(' ', at + 1) - at - 1);
  }
};

// Reads one message at a time from a connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // `response`: a message without a length ends with its connection.
  Message Read(bool response,
               double timeout_ms,
               const std::function<void(const std::string&)>& on_body = {}) {
    Message message;
    double end = NowMs() + timeout_ms;
    std::size_t head = std::string::npos;
    while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(end, &message)) {
        return message;
      }
    }
    std::istringstream lines(buffer_.substr(0, head));
    buffer_.erase(0, head + 4);
    std::string line;
    std::getline(lines, message.start);
    Trim(&message.start);
    while (std::getline(lines, line)) {
      std::size_t colon = line.find(':');
      std::string value =
          colon == std::string::npos ? "" : line.substr(colon + 1);
      Trim(&value);
      message.fields.emplace_back(line.substr(0, colon), value);
    }
    auto add = [&](const std::string& data) {
      message.body += data;
      if (on_body && !data.empty()) {
        on_body(data);
      }
    };
    if (message.Field("Transfer-Encoding") == "chunked") {
      while (true) {
        std::size_t line_end = 0;
        while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
          if (!Fill(end, &message)) {
            return message;
          }
        }
        std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < line_end + 2 + size + 2) {
          if (!Fill(end, &message)) {
            return message;
          }
        }
        add(buffer_.substr(line_end + 2, size));
        buffer_.erase(0, line_end + 2 + size + 2);
        if (size == 0) {
          message.complete = true;
          return message;
        }
      }
    }
    std::string length = message.Field("Content-Length");
    if (!length.empty() || !response) {
      std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
      while (message.body.size() < size) {
        if (buffer_.empty() && !Fill(end, &message)) {
          return message;
        }
        std::size_t part = std::min(buffer_.size(), size - message.body.size());
        add(buffer_.substr(0, part));
        buffer_.erase(0, part);
      }
      message.complete = true;
      return message;
    }
    add(std::exchange(buffer_, std::string()));
    while (Fill(end, &message)) {
      add(std::exchange(buffer_, std::string()));
    }
    message.complete = message.end == 1;
    return message;
  }
  bool has_more() const { return !buffer_.empty(); }

 private:
  static void Trim(std::string* text) {
    while (!text->empty() && std::strchr(" \r\t", text->back()) != nullptr) {
      text->pop_back();
    }
    text->erase(0, std::min(text->find_first_not_of(" \t"), text->size()));
  }
  bool Fill(double end, Message* message) {
    pollfd wait{fd_, POLLIN, 0};
    int left = static_cast<int>(end - NowMs());
    if (left <= 0 || poll(&wait, 1, left) <= 0) {
      message->end = 3;
      return false;
    }
    char data[65536];
    ssize_t size = recv(fd_, data, sizeof(data), 0);
    if (size <= 0) {
      message->end = size == 0 ? 1 : 2;
      return false;
    }
    buffer_.append(data, static_cast<std::size_t>(size));
    return true;
  }

  const int fd_;
  std::string buffer_;
};

// A server with one thread for each connection.
class Server {
 public:
  using Serve = std::function<void(int fd)>;
  explicit Server(Serve serve, int port = 0)
      : port_(port), serve_(std::move(serve)) {
    listen_ = ListenOnFreePort(&port_);
    if (listen_ < 0) {
      std::fprintf(stderr, "cannot listen\n");
      std::exit(2);
    }
    std::thread([this] {
      while (true) {
        int fd = accept4(listen_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          if (stopped_) {
            return;
          }
          SleepMs(1);
          continue;
        }
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread(serve_, fd).detach();
      }
    }).detach();
  }
  void Stop() {
    stopped_ = true;
    shutdown(listen_, SHUT_RDWR);
    close(listen_);
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  int port_;
  int listen_ = -1;
  std::atomic<bool> stopped_{false};
  Serve serve_;
};

// ------------------------------------------------------------------ store

inline std::string Base64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned value = static_cast<unsigned char>(bytes[i]) << 16;
    value |= i + 1 < bytes.size()
                 ? static_cast<unsigned char>(bytes[i + 1]) << 8
                 : 0;
    value |=
        i + 2 < bytes.size() ? static_cast<unsigned char>(bytes[i + 2]) : 0;
    out += digits[value >> 18];
    out += digits[value >> 12 & 63];
    out += i + 1 < bytes.size() ? digits[value >> 6 & 63] : '=';
    out += i + 2 < bytes.size() ? digits[value & 63] : '=';
  }
  return out;
}

inline std::string FromBase64(const std::string& text) {
  static const std::string digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  unsigned value = 0;
  int bits = 0;
  for (char c : text) {
    std::size_t digit = digits.find(c);
    if (digit == std::string::npos) {
      break;
    }
    value = value << 6 | static_cast<unsigned>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(value >> bits & 255);
    }
  }
  return out;
}

// The platform's store: rows-get, rows-feed and rows-tx.
class Store {
 public:
  explicit Store(Record* record)
      : record_(record), server_([this](int fd) { Serve(fd); }) {}

  std::string address() const { return server_.address(); }

  void Put(const std::string& table,
           const std::string& key,
           const std::string& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++version_;
    rows_[table][key] = Row{value, version_, false};
    changed_.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = rows_[table].find(key);
    if (found != rows_[table].end() && !found->second.deleted) {
      ++version_;
      found->second = Row{"", version_, true};
      changed_.notify_all();
    }
  }
  std::string Get(const std::string& table, const std::string& key) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = rows_[table].find(key);
    return found == rows_[table].end() || found->second.deleted
               ? ""
               : found->second.value;
  }
  std::int64_t transactions() const { return transactions_; }
  // While true, each call is answered 503.
  void SetBusy(bool busy) {
    std::lock_guard<std::mutex> lock(mutex_);
    busy_ = busy;
    changed_.notify_all();
  }
  // Called for each transaction before its answer; returns whether the answer
  // is sent.
  std::function<bool(const json&)> on_transaction;

 private:
  struct Row {
    std::string value;
    std::int64_t version = 0;
    bool deleted = false;
  };

  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    std::istringstream parts(at == std::string::npos ? ""
                                                     : target.substr(at + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
      std::size_t equals = part.find('=');
      std::string value;
      std::string text =
          equals == std::string::npos ? "" : part.substr(equals + 1);
      for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
          value +=
              static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += text[i];
        }
      }
      query[part.substr(0, equals)] = value;
    }
    return query;
  }

  json RowJson(const std::string& table,
               const std::string& key,
               const Row& row) const {
    json entry{{"table", table},
               {"part", ""},
               {"key", key},
               {"row_version", row.version}};
    if (row.deleted) {
      entry["deleted"] = true;
    } else {
      entry["value"] = Base64(row.value);
    }
    return entry;
  }

  // Returns the status; fills the body.
  int Call(const Message& request, json* body) {
    std::unique_lock<std::mutex> lock(mutex_);
    auto busy = [this] { return busy_; };
    if (busy()) {
      return 503;
    }
    std::string path = request.target().substr(0, request.target().find('?'));
    auto query = Query(request.target());
    json rows = json::array();
    if (path == "/rows-get") {
      for (const auto& [key, row] : rows_[query["table"]]) {
        if (!row.deleted && key >= query["from"] && query["part"].empty()) {
          rows.push_back(RowJson(query["table"], key, row));
        }
      }
      *body = {{"rows", rows}, {"has_more", false}};
    } else if (path == "/rows-feed") {
      std::int64_t after = std::atoll(query["after"].c_str());
      auto collect = [&] {
        std::map<std::int64_t, json> ordered;
        for (const auto& [key, row] : rows_[query["table"]]) {
          if (row.version > after) {
            ordered[row.version] = RowJson(query["table"], key, row);
          }
        }
        for (auto& entry : ordered) {
          rows.push_back(entry.second);
        }
        return !rows.empty();
      };
      auto end = std::chrono::steady_clock::now() +
                 std::chrono::milliseconds(std::atoi(query["wait_ms"].c_str()));
      while (!collect() && !busy() &&
             changed_.wait_until(lock, end) != std::cv_status::timeout) {
      }
      if (busy()) {
        return 503;
      }
      if (rows.empty()) {
        collect();
      }
      *body = {{"rows", rows}};
    } else if (path == "/rows-tx") {
      ++transactions_;
      json call = json::parse(request.body);
      for (const json& entry : call["expect"]) {
        const auto& table = rows_[entry["table"].get<std::string>()];
        auto found = table.find(entry["key"].get<std::string>());
        std::int64_t version = found == table.end() || found->second.deleted
                                   ? 0
                                   : found->second.version;
        if (version != entry["row_version"].get<std::int64_t>()) {
          *body = {
              {"rows", rows}, {"row_version", version_}, {"now_ms", NowMs()}};
          return 412;
        }
      }
      ++version_;
      for (const json& entry : call["put"]) {
        std::string table = entry["table"];
        if (table == "op" || table == "servers") {
          return 403;
        }
        rows_[table][entry["key"].get<std::string>()] =
            Row{FromBase64(entry["value"]), version_, false};
        if (table == "status") {
          record_->Write("status/%s = %s",
                         entry["key"].get<std::string>().c_str(),
                         FromBase64(entry["value"]).c_str());
        }
      }
      for (const json& entry : call["remove"]) {
        auto& table = rows_[entry["table"].get<std::string>()];
        if (table.count(entry["key"].get<std::string>()) > 0) {
          table[entry["key"].get<std::string>()] = Row{"", version_, true};
        }
      }
      changed_.notify_all();
      *body = json::object();
    } else {
      return 404;
    }
    (*body)["row_version"] = version_;
    (*body)["now_ms"] = NowMs();
    return 200;
  }

  void Serve(int fd) {
    Reader reader(fd);
    while (true) {
      Message request = reader.Read(false, 600000);
      if (!request.complete) {
        break;
      }
      json body = json::object();
      int status = Call(request, &body);
      SleepMs(4);
      if (status == 200 && on_transaction &&
          request.target().compare(0, 8, "/rows-tx") == 0 &&
          !on_transaction(json::parse(request.body))) {
        continue;
      }
      std::string text = body.dump();
      if (!SendAll(
              fd,
              "HTTP/1.1 " + std::to_string(status) +
                  " X\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(text.size()) + "\r\n\r\n" + text)) {
        break;
      }
    }
    close(fd);
  }

  Record* const record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Row>> rows_;
  std::int64_t version_ = 0;
  std::atomic<std::int64_t> transactions_{0};
  bool busy_ = false;
  Server server_;
};

// ----------------------------------------------------------------- worker

struct WorkerOptions {
  std::string id;
  std::string service;
  std::string zone = "zone-a";
  std::string version = "v1";
  int slots = 6;
  int queue = 24;
  double work_ms = 60;
  // Events of a stream, and the time between them.
  int events = 0;
  double event_ms = 20;
};

// A worker of a service. It registers in the store, runs `slots` requests at
// once, queues `queue` more and refuses the rest with
// Filbertshift-Not-Executed.
class Worker {
 public:
  // What a test may do instead of the usual; each returns whether it has
  // handled it.
  struct Hooks {
    // After a refusal was sent.
    std::function<void(int fd, const Message& request, const std::string& sent)>
        refused;
    // After a whole answer was sent.
    std::function<void(int fd, const Message& request, const std::string& sent)>
        answered;
    // Sends an answer in place of the usual one.
    std::function<bool(int fd, const Message& request, Worker* worker)> answer;
  };

  Worker(WorkerOptions options, Store* store, Record* record, Hooks hooks = {})
      : options_(std::move(options)),
        store_(store),
        record_(record),
        hooks_(std::move(hooks)),
        born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        server_([this](int fd) { Serve(fd); }) {
    std::thread([this] {
      while (!gone_) {
        Beat();
        SleepMs(1200);
      }
    }).detach();
  }

  const WorkerOptions& options() const { return options_; }
  std::string address() const { return server_.address(); }
  // Runs by request id.
  std::map<std::string, int> runs() {
    std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }
  int refusals() const { return refusals_; }
  // Answers with a stream that goes on after Last-Event-Id; `fields` are more
  // header lines. Returns whether the connection is still of use.
  bool Stream(int fd, const Message& request, const std::string& fields) {
    std::string id = request.Field("Filbertshift-Attempt-Id");
    std::string head = "HTTP/1.1 200 OK\r\nFilbertshift-Attempt-Id: " + id +
                       "\r\nFilbertshift-Response-Seal: seal." + id + "\r\n" +
                       fields;
    int first = std::atoi(request.Field("Last-Event-Id").c_str()) + 1;
    if (WorkFor(fd, options_.work_ms) ||
        !SendAll(fd,
                 head + "Content-Type: text/event-stream\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n")) {
      return false;
    }
    for (int number = first; number <= options_.events; ++number) {
      std::string event = "id: " + std::to_string(number) + "\ndata: " + id +
                          "/" + std::to_string(number) + "\n\n";
      char size[32];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!SendAll(fd, size + event + "\r\n") ||
          WorkFor(fd, options_.event_ms)) {
        return false;
      }
    }
    return SendAll(fd, "0\r\n\r\n");
  }
  void SetState(const std::string& state) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      state_ = state;
    }
    Beat();
  }
  void Leave() {
    gone_ = true;
    store_->Remove("servers", options_.id);
  }

 private:
  void Beat() {
    std::lock_guard<std::mutex> lock(mutex_);
    if (gone_) {
      return;
    }
    json entry{{"service", options_.service},
               {"address", server_.address()},
               {"zone", options_.zone},
               {"version", options_.version},
               {"slots", options_.slots},
               {"state", state_},
               {"cold_remaining_ms", 0},
               {"sequence", ++sequence_},
               {"born", born_}};
    store_->Put("servers", options_.id, entry.dump());
  }

  void Refuse(int fd, const Message& request, int status) {
    std::string text =
        "HTTP/1.1 " + std::to_string(status) +
        (status == 421 ? " Misdirected Request" : " Service Unavailable") +
        "\r\nFilbertshift-Attempt-Id: " +
        request.Field("Filbertshift-Attempt-Id") +
        (status == 421 ? "\r\nFilbertshift-Instance-Id: " + options_.id
                       : "\r\nFilbertshift-Not-Executed: 1") +
        "\r\nContent-Length: 0\r\n\r\n";
    ++refusals_;
    SendAll(fd, text);
    if (status == 503 && hooks_.refused) {
      hooks_.refused(fd, request, text);
    }
  }

  // Waits; returns whether the caller has left.
  static bool WorkFor(int fd, double ms) {
    double end = NowMs() + ms;
    while (NowMs() < end) {
      SleepMs(std::min(2.0, end - NowMs()));
      if (PeerGone(fd)) {
        return true;
      }
    }
    return false;
  }

  void Serve(int fd) {
    Reader reader(fd);
    while (true) {
      Message request = reader.Read(false, 600000);
      if (!request.complete) {
        break;
      }
      std::string id = request.Field("Filbertshift-Attempt-Id");
      if (request.Field("Filbertshift-Expect-Instance") != options_.id) {
        Refuse(fd, request, 421);
        continue;
      }
      Entry entry = Enter(fd);
      if (entry == Entry::kFull) {
        record_->Write("worker %s refuses %s", options_.id.c_str(), id.c_str());
        Refuse(fd, request, 503);
        continue;
      }
      if (entry == Entry::kCallerGone) {
        break;
      }
      {
        std::lock_guard<std::mutex> lock(mutex_);
        ++runs_[id];
      }
      record_->Write("worker %s runs %s", options_.id.c_str(), id.c_str());
      bool open = hooks_.answer && hooks_.answer(fd, request, this)
                      ? true
                      : Answer(fd, request, id);
      FreeSlot();
      if (!open) {
        break;
      }
    }
    close(fd);
  }

  enum class Entry { kRuns, kFull, kCallerGone };

  // Takes a slot, after a wait in the queue.
  Entry Enter(int fd) {
    std::unique_lock<std::mutex> lock(mutex_);
    if (running_ + waiting_ >= options_.slots + options_.queue) {
      return Entry::kFull;
    }
    ++waiting_;
    while (running_ >= options_.slots) {
      freed_.wait_for(lock, std::chrono::milliseconds(5));
      if (running_ >= options_.slots && PeerGone(fd)) {
        --waiting_;
        return Entry::kCallerGone;
      }
    }
    --waiting_;
    ++running_;
    return Entry::kRuns;
  }
  void FreeSlot() {
    std::lock_guard<std::mutex> lock(mutex_);
    --running_;
    freed_.notify_one();
  }

  bool Answer(int fd, const Message& request, const std::string& id) {
    std::string head = "HTTP/1.1 200 OK\r\nFilbertshift-Attempt-Id: " + id +
                       "\r\nFilbertshift-Response-Seal: seal." + id + "\r\n";
    if (options_.events == 0) {
      if (WorkFor(fd, options_.work_ms)) {
        return false;
      }
      std::string body = "answer to " + id + " by " + options_.id;
      std::string text = head +
                         "Content-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body;
      bool sent = SendAll(fd, text);
      if (sent && hooks_.answered) {
        hooks_.answered(fd, request, text);
      }
      return sent;
    }
    return Stream(fd, request, "");
  }

  const WorkerOptions options_;
  Store* const store_;
  Record* const record_;
  const Hooks hooks_;
  const std::int64_t born_;
  std::mutex mutex_;
  std::condition_variable freed_;
  std::string state_ = "ready";
  std::map<std::string, int> runs_;
  int running_ = 0;
  int waiting_ = 0;
  int sequence_ = 0;
  std::atomic<int> refusals_{0};
  std::atomic<bool> gone_{false};
  Server server_;
};

// -------------------------------------------------------------- processes

// filbertshift-gatewayd with the settings that deploy/settings.template gives.
class Gateway {
 public:
  Gateway(std::string program,
          std::string folder,
          std::string name,
          std::string zone,
          const std::string& store)
      : program_(std::move(program)),
        folder_(std::move(folder)),
        name_(std::move(name)) {
    front_ = FreePort();
    ready_ = FreePort();
    control_ = FreePort();
    auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    settings_ = {{"instance", name_},
                 {"data_centre", zone},
                 {"caller_listen", address(front_)},
                 {"readiness_listen", address(ready_)},
                 {"peer_listen", address(control_)},
                 {"store_address", store},
                 {"seed_peers", json::array({address(control_)})},
                 {"configuration_apply_ms", 2000},
                 {"shutdown_s", 8},
                 {"session_s", 5},
                 {"rollout_share", 0.15},
                 {"rollout_tolerance", 30},
                 {"repeat_ratio", 0.9},
                 {"repeat_window_s", 10},
                 {"repeat_allowance", 58},
                 {"cold_overshoot", 1.5},
                 {"cold_tolerance", 5}};
  }
  ~Gateway() { Kill(); }

  void SetSeeds(const std::vector<Gateway*>& gateways) {
    settings_["seed_peers"] = json::array();
    for (const Gateway* gateway : gateways) {
      settings_["seed_peers"].push_back("127.0.0.1:" +
                                        std::to_string(gateway->control_));
    }
  }
  void Start() {
    std::string path = folder_ + "/" + name_ + ".json";
    std::ofstream(path) << settings_.dump(2);
    std::string log = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      // Ends with the driver, also if that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      execl(program_.c_str(), program_.c_str(), "--settings", path.c_str(),
            nullptr);
      _exit(127);
    }
  }
  bool IsReady() const {
    int fd = ConnectTo(ready_);
    if (fd < 0) {
      return false;
    }
    SendAll(fd, "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    Reader reader(fd);
    int status = reader.Read(true, 500).status();
    close(fd);
    return status == 200;
  }
  bool AwaitReady(double timeout_ms) const {
    double end = NowMs() + timeout_ms;
    while (!IsReady()) {
      if (NowMs() > end) {
        return false;
      }
      SleepMs(50);
    }
    return true;
  }
  void Signal(int number) const {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  // Whether the process has ended by itself.
  bool HasEnded(int* status = nullptr) {
    int value = 0;
    if (pid_ > 0 && waitpid(pid_, &value, WNOHANG) == pid_) {
      pid_ = -1;
      exit_status_ = value;
    }
    if (status != nullptr) {
      *status = exit_status_;
    }
    return pid_ <= 0;
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  int front() const { return front_; }
  int control() const { return control_; }
  const std::string& name() const { return name_; }
  json& settings() { return settings_; }
  pid_t pid() const { return pid_; }

 private:
  const std::string program_;
  const std::string folder_;
  const std::string name_;
  int front_ = 0;
  int ready_ = 0;
  int control_ = 0;
  pid_t pid_ = -1;
  int exit_status_ = 0;
  json settings_;
};

// ----------------------------------------------------------------- client

struct Request {
  std::string method = "POST";
  std::string path;
  std::string id;
  std::string key = "key-of-tenant-a";
  int deadline_ms = 1500;
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string Text() const {
    std::string text =
        method + " " + path + " HTTP/1.1\r\nHost: front.example\r\n" +
        "Filbertshift-Attempt-Id: " + id +
        "\r\nFilbertshift-Deadline-Ms: " + std::to_string(deadline_ms) +
        "\r\nAuthorization: Bearer " + key + "\r\n";
    for (const auto& [name, value] : fields) {
      text += name + ": " + value + "\r\n";
    }
    if (method != "GET") {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
  }
};

// A client with one kept connection.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { Close(); }
  bool Send(const Request& request) {
    if (fd_ < 0) {
      fd_ = ConnectTo(port_);
      reader_ = std::make_unique<Reader>(fd_);
    }
    return fd_ >= 0 && SendAll(fd_, request.Text());
  }
  Message Receive(double timeout_ms,
                  const std::function<void(const std::string&)>& on_body = {}) {
    Message answer = reader_->Read(true, timeout_ms, on_body);
    if (!answer.complete || answer.Field("Connection") == "close") {
      Close();
    }
    return answer;
  }
  // Leaves the connection open for answers that may follow.
  Message ReceiveNext(double timeout_ms) {
    return reader_->Read(true, timeout_ms);
  }
  Message Call(const Request& request) {
    return Send(request) ? Receive(request.deadline_ms + 1000) : Message();
  }
  void CloseIf(bool condition) {
    if (condition) {
      Close();
    }
  }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  int fd() const { return fd_; }

 private:
  const int port_;
  int fd_ = -1;
  std::unique_ptr<Reader> reader_;
};

// ----------------------------------------------------------- configuration

struct RouteOptions {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 800;
  int objective_ms = 300;
  int max_attempts = 1;
  bool resumable = false;
  json more = json::object();
};

inline json Configuration(int version,
                          const std::vector<RouteOptions>& routes) {
  json value{{"version", version},
             {"routes", json::array()},
             {"services", json::array()},
             {"limits",
              {{"max_header_bytes", 16384},
               {"max_body_bytes", 4194304},
               {"header_timeout_ms", 3000},
               {"idle_timeout_ms", 15000}}},
             {"tenants",
              json::array({{{"name", "tenant-a"},
                            {"api_keys", json::array({"key-of-tenant-a"})}}})}};
  std::map<std::string, bool> services;
  for (const RouteOptions& route : routes) {
    json entry{{"name", route.name},
               {"host", "front.example"},
               {"prefix", route.prefix},
               {"route_kind", route.kind},
               {"service", route.service},
               {"timeout_ms", route.timeout_ms},
               {"objective_ms", route.objective_ms},
               {"priority", 1},
               {"max_attempts", route.max_attempts},
               {"public", false},
               {"resumable", route.resumable}};
    entry.update(route.more);
    value["routes"].push_back(entry);
    if (!services[route.service]) {
      services[route.service] = true;
      value["services"].push_back({{"name", route.service},
                                   {"health_path", "/healthz"},
                                   {"max_conns", 110},
                                   {"cold_start_s", 0.0},
                                   {"cold_per_s", 0.0}});
    }
  }
  return value;
}

// Ends the process without the destructors of objects that threads still use.
// All gateways must have been killed.
[[noreturn]] inline void Exit(int code) {
  std::fflush(nullptr);
  _exit(code);
}

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace standin

#endif  // REVIEW_STANDIN_STANDIN_H_
