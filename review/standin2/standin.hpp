// Small stand-ins for the scripts of review/6 to review/10: the platform's
// metadata store, workers, clients and a proxy with faults, over real sockets
// on loopback addresses. Each follows the users' PROTOCOL page. One thread a
// connection; enough for a few hundred requests a second.

#ifndef REVIEW_STANDIN2_STANDIN_HPP_
#define REVIEW_STANDIN2_STANDIN_HPP_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
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
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point StartTime() {
  static const Clock::time_point start = Clock::now();
  return start;
}
// Seconds since the start of the case.
inline double Now() {
  return std::chrono::duration<double>(Clock::now() - StartTime()).count();
}
inline void Sleep(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}
inline void SleepUntil(double time) { Sleep(time - Now()); }

// Lines of record.txt, in the order in which they were written.
class Record {
 public:
  void Open(const std::string& path) { file_.open(path, std::ios::trunc); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    char time[32];
    snprintf(time, sizeof(time), "%9.4f ", Now());
    std::lock_guard<std::mutex> lock(mutex_);
    file_ << time << text << "\n";
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};
inline Record& Log() {
  static Record record;
  return record;
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in ParseAddress(const std::string& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  std::size_t colon = address.rfind(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  result.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return result;
}

// Listens on a free port of 127.0.0.1. Returns the descriptor.
inline int ListenFree(std::string* address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in any = ParseAddress("127.0.0.1:0");
  if (bind(fd, reinterpret_cast<sockaddr*>(&any), sizeof(any)) != 0 ||
      listen(fd, 512) != 0) {
    perror("listen");
    _exit(2);
  }
  socklen_t size = sizeof(any);
  getsockname(fd, reinterpret_cast<sockaddr*>(&any), &size);
  *address = "127.0.0.1:" + std::to_string(ntohs(any.sin_port));
  return fd;
}

// An address that was free a moment ago, for a process to listen on.
inline std::string FreeAddress() {
  std::string address;
  int fd = ListenFree(&address);
  close(fd);
  return address;
}

inline void NoDelay(int fd) {
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

// Returns -1 if the connection is refused or not made in time.
inline int Connect(const std::string& address, double timeout) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in peer = ParseAddress(address);
  if (connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) != 0) {
    pollfd entry{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS ||
        poll(&entry, 1, static_cast<int>(timeout * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  }
  NoDelay(fd);
  return fd;
}

inline bool SendAll(int fd, const std::string& data) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    ssize_t size =
        send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (size > 0) {
      sent += static_cast<std::size_t>(size);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      pollfd entry{fd, POLLOUT, 0};
      if (poll(&entry, 1, 10000) != 1) {
        return false;
      }
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

// Bytes read: > 0; 0: closed; -1: reset; -2: time passed.
inline int ReadSome(int fd, std::string* out, double timeout) {
  pollfd entry{fd, POLLIN, 0};
  int ready = poll(&entry, 1, std::max(0, static_cast<int>(timeout * 1000)));
  if (ready == 0) {
    return -2;
  }
  char buffer[16384];
  ssize_t size = recv(fd, buffer, sizeof(buffer), 0);
  if (size < 0) {
    return errno == EAGAIN || errno == EINTR ? -2 : -1;
  }
  out->append(buffer, static_cast<std::size_t>(size));
  return static_cast<int>(size);
}

inline void Reset(int fd) {
  linger value{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
  close(fd);
}

// ------------------------------------------------------------------- HTTP

struct Message {
  // Of a request.
  std::string method;
  std::string target;
  // Of a response.
  int status = 0;
  // Names in lower case.
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const {
    auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
};

enum class ReadResult { kWhole, kNothing, kCut, kReset, kTimeout, kMalformed };

// Reads one message. `pending` holds bytes that were read before.
inline ReadResult ReadMessage(int fd,
                              bool response,
                              std::string* pending,
                              double deadline,
                              Message* message) {
  auto more = [&](bool started) -> ReadResult {
    int size = ReadSome(fd, pending, deadline - Now());
    if (size > 0) {
      return ReadResult::kWhole;
    }
    if (size == -2) {
      return ReadResult::kTimeout;
    }
    if (size == -1) {
      return ReadResult::kReset;
    }
    return started ? ReadResult::kCut : ReadResult::kNothing;
  };
  std::size_t end;
  while ((end = pending->find("\r\n\r\n")) == std::string::npos) {
    ReadResult result = more(!pending->empty());
    if (result != ReadResult::kWhole) {
      return result;
    }
  }
  std::istringstream head(pending->substr(0, end));
  pending->erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  std::istringstream first(line);
  if (response) {
    std::string version;
    first >> version >> message->status;
  } else {
    first >> message->method >> message->target;
  }
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return ReadResult::kMalformed;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    std::size_t begin = line.find_first_not_of(' ', colon + 1);
    message->fields[name] =
        begin == std::string::npos ? std::string() : line.substr(begin);
  }
  auto need = [&](std::size_t size) {
    while (pending->size() < size) {
      ReadResult result = more(true);
      if (result != ReadResult::kWhole) {
        return result;
      }
    }
    return ReadResult::kWhole;
  };
  if (message->Field("transfer-encoding") == "chunked") {
    for (;;) {
      std::size_t eol;
      while ((eol = pending->find("\r\n")) == std::string::npos) {
        ReadResult result = more(true);
        if (result != ReadResult::kWhole) {
          return result;
        }
      }
      std::size_t size = std::stoul(pending->substr(0, eol), nullptr, 16);
      ReadResult result = need(eol + 2 + size + 2);
      if (result != ReadResult::kWhole) {
        // What has arrived, so that a caller sees the pieces so far.
        message->body += pending->substr(
            std::min(pending->size(), eol + 2));
        return result;
      }
      message->body += pending->substr(eol + 2, size);
      pending->erase(0, eol + 2 + size + 2);
      if (size == 0) {
        return ReadResult::kWhole;
      }
    }
  }
  std::string length = message->Field("content-length");
  if (!length.empty()) {
    std::size_t size = std::stoul(length);
    ReadResult result = need(size);
    if (result != ReadResult::kWhole) {
      return result;
    }
    message->body = pending->substr(0, size);
    pending->erase(0, size);
  } else if (response && message->status != 204) {
    for (;;) {
      ReadResult result = more(true);
      if (result == ReadResult::kCut) {
        message->body = *pending;
        pending->clear();
        return ReadResult::kWhole;
      }
      if (result != ReadResult::kWhole) {
        return result;
      }
    }
  }
  return ReadResult::kWhole;
}

inline std::string Response(
    int status,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
  for (const auto& field : fields) {
    out += field.first + ": " + field.second + "\r\n";
  }
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Accepts connections; each is served by a thread of its own.
class Server {
 public:
  using Handler = std::function<void(int fd)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {
    listener_ = ListenFree(&address_);
    thread_ = std::thread([this] { Accept(); });
  }
  const std::string& address() const { return address_; }
  // Nothing is accepted from now on; open connections are closed, as by the
  // end of the process.
  void Stop() {
    if (stopped_.exchange(true)) {
      return;
    }
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
    std::lock_guard<std::mutex> lock(mutex_);
    for (int fd : open_) {
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  void Accept() {
    while (!stopped_) {
      int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (stopped_) {
          return;
        }
        Sleep(0.005);
        continue;
      }
      NoDelay(fd);
      {
        std::lock_guard<std::mutex> lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd] {
        handler_(fd);
        std::lock_guard<std::mutex> lock(mutex_);
        open_.erase(fd);
        close(fd);
      }).detach();
    }
  }

  Handler handler_;
  std::string address_;
  int listener_ = -1;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
  std::mutex mutex_;
  std::set<int> open_;
};

// ------------------------------------------------------------------ store

inline std::string Base64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      value = value << 8 | (i + k < bytes.size()
                                ? static_cast<unsigned char>(bytes[i + k])
                                : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += k <= bytes.size() - i ? digits[value >> (18 - 6 * k) & 63] : '=';
    }
  }
  return out;
}

inline std::string FromBase64(const std::string& text) {
  std::string out;
  unsigned value = 0;
  int bits = 0;
  for (char c : text) {
    int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                : c >= 'a' && c <= 'z' ? c - 'a' + 26
                : c >= '0' && c <= '9' ? c - '0' + 52
                : c == '+'             ? 62
                : c == '/'             ? 63
                                       : -1;
    if (digit < 0) {
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

inline std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return query;
  }
  std::istringstream rest(target.substr(mark + 1));
  std::string entry;
  while (std::getline(rest, entry, '&')) {
    std::size_t equals = entry.find('=');
    std::string value;
    std::string raw =
        equals == std::string::npos ? std::string() : entry.substr(equals + 1);
    for (std::size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] == '%' && i + 2 < raw.size()) {
        value += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        value += raw[i];
      }
    }
    query[entry.substr(0, equals)] = value;
  }
  return query;
}

class Store {
 public:
  Store() : server_([this](int fd) { Serve(fd); }) {}
  const std::string& address() const { return server_.address(); }
  void Stop() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    server_.Stop();
  }

  std::int64_t Put(const std::string& table,
                   const std::string& key,
                   const json& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    return PutLocked(table, key, value.dump());
  }
  void Remove(const std::string& table, const std::string& key) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = tables_[table].find(key);
    if (found != tables_[table].end()) {
      found->second = Row{std::string(), ++version_, true};
      changed_.notify_all();
    }
  }
  // Empty if there is no such row.
  std::string Get(const std::string& table, const std::string& key) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = tables_[table].find(key);
    return found == tables_[table].end() || found->second.deleted
               ? std::string()
               : found->second.value;
  }
  // The `state` under status/rollout/SERVICE; empty if there is none.
  std::string RolloutState(const std::string& service) {
    std::string text = Get("status", "rollout/" + service);
    return text.empty() ? text : json::parse(text).value("state", "");
  }

 private:
  struct Row {
    std::string value;
    std::int64_t version = 0;
    bool deleted = false;
  };

  std::int64_t PutLocked(const std::string& table,
                         const std::string& key,
                         const std::string& value) {
    tables_[table][key] = Row{value, ++version_, false};
    changed_.notify_all();
    return version_;
  }

  void Serve(int fd) {
    std::string pending;
    for (;;) {
      Message request;
      if (ReadMessage(fd, false, &pending, Now() + 3600, &request) !=
          ReadResult::kWhole) {
        return;
      }
      // About the time of an answer that the users' sheet names.
      Sleep(0.004);
      int status = 200;
      std::string body = Answer(request, &status);
      if (!SendAll(fd, Response(status, {{"Content-Type", "application/json"}},
                                body))) {
        return;
      }
    }
  }

  json RowsOf(const std::string& table, std::int64_t after, bool deleted) {
    std::vector<std::pair<std::int64_t, json>> rows;
    for (const auto& [key, row] : tables_[table]) {
      if (row.version <= after || (row.deleted && !deleted)) {
        continue;
      }
      json entry{{"table", table},
                 {"part", ""},
                 {"key", key},
                 {"row_version", row.version}};
      if (row.deleted) {
        entry["deleted"] = true;
      } else {
        entry["value"] = Base64(row.value);
      }
      rows.emplace_back(row.version, std::move(entry));
    }
    if (deleted) {
      std::sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
        return a.first < b.first;
      });
    }
    json list = json::array();
    for (auto& entry : rows) {
      list.push_back(std::move(entry.second));
    }
    return list;
  }

  std::string Answer(const Message& request, int* status) {
    std::map<std::string, std::string> query = Query(request.target);
    std::string path = request.target.substr(0, request.target.find('?'));
    std::unique_lock<std::mutex> lock(mutex_);
    json answer;
    if (path == "/rows-get") {
      answer["rows"] = RowsOf(query["table"], 0, false);
      answer["has_more"] = false;
    } else if (path == "/rows-feed") {
      std::int64_t after = std::stoll(query["after"]);
      double wait = std::stod(query["wait_ms"]) / 1000;
      const std::string& table = query["table"];
      changed_.wait_for(lock, std::chrono::duration<double>(wait), [&] {
        return stopping_ || !RowsOf(table, after, true).empty();
      });
      answer["rows"] = RowsOf(table, after, true);
    } else if (path == "/rows-tx") {
      *status = Transact(json::parse(request.body), &answer);
    } else {
      *status = 404;
    }
    answer["row_version"] = version_;
    answer["now_ms"] = static_cast<std::int64_t>(Now() * 1000) + 1000000;
    return answer.dump();
  }

  int Transact(const json& call, json* answer) {
    json current = json::array();
    bool conflict = false;
    for (const json& entry : call.value("expect", json::array())) {
      const Row& row = tables_[entry.at("table")][entry.at("key")];
      std::int64_t version = row.deleted ? 0 : row.version;
      conflict = conflict || version != entry.at("row_version");
    }
    for (const char* kind : {"put", "remove"}) {
      for (const json& entry : call.value(kind, json::array())) {
        std::string table = entry.at("table");
        if (table == "op" || table == "servers") {
          return 403;
        }
      }
    }
    if (conflict) {
      (*answer)["rows"] = current;
      return 412;
    }
    for (const json& entry : call.value("put", json::array())) {
      PutLocked(entry.at("table"), entry.at("key"),
                FromBase64(entry.at("value")));
    }
    for (const json& entry : call.value("remove", json::array())) {
      Row& row = tables_[entry.at("table")][entry.at("key")];
      row = Row{std::string(), ++version_, true};
      changed_.notify_all();
    }
    return 200;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::int64_t version_ = 0;
  bool stopping_ = false;
  Server server_;
};

// ---------------------------------------------------------------- gateway

// Fills in deploy/settings.template with a settings tree, as DEPLOY.md says,
// as far as that template needs it.
class Template {
 public:
  static std::string Fill(const std::string& text, const json& values) {
    std::string out;
    Render(text, values, values, &out);
    return out;
  }

 private:
  static const json* Find(const json& root, const std::string& path) {
    const json* value = &root;
    std::istringstream names(path);
    std::string name;
    while (std::getline(names, name, '.')) {
      if (!value->is_object() || !value->contains(name)) {
        return nullptr;
      }
      value = &(*value)[name];
    }
    return value;
  }
  static std::string Text(const json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
  }
  static void Render(const std::string& text,
                     const json& root,
                     const json& entry,
                     std::string* out,
                     bool last = true) {
    std::size_t at = 0;
    for (;;) {
      std::size_t open = text.find("{{", at);
      if (open == std::string::npos) {
        out->append(text, at, std::string::npos);
        return;
      }
      out->append(text, at, open - at);
      std::size_t close = text.find("}}", open);
      std::string name = text.substr(open + 2, close - open - 2);
      at = close + 2;
      if (name[0] == '#') {
        std::string end = "{{/" + name.substr(1) + "}}";
        std::size_t stop = text.find(end, at);
        std::string inner = text.substr(at, stop - at);
        at = stop + end.size();
        const json* value = Find(root, name.substr(1));
        if (value != nullptr && value->is_array()) {
          for (std::size_t i = 0; i < value->size(); ++i) {
            Render(inner, root, (*value)[i], out, i + 1 == value->size());
          }
        } else if (value != nullptr && !value->is_null() &&
                   !(value->is_boolean() && !value->get<bool>())) {
          Render(inner, root, entry, out);
        }
      } else if (name == ",") {
        out->append(last ? "" : ",");
      } else if (name == ".") {
        out->append(Text(entry));
      } else if (const json* value = Find(root, name)) {
        out->append(Text(*value));
      }
    }
  }
};

// The settings of a machine of a small deployment: the figures of the users'
// sheet for restauro-naplo.
inline json SmallSettings() {
  return json{{"limits", {{"memory_mb", 520}}},
              {"bounds",
               {{"config_apply_ms", 2000},
                {"grace_s", 8},
                {"session_s", 5},
                {"exposure_share", 0.15},
                {"exposure_tolerance", 30},
                {"retry_ratio", 0.9},
                {"retry_window_s", 10},
                {"retry_extra", 58},
                {"cold_overshoot", 1.5},
                {"cold_tolerance", 5}}}};
}

// The words of the line `run` of deploy/system.toml, with the settings file of
// this process in place of the platform's.
inline std::vector<std::string> RunCommand(const std::string& root,
                                           const std::string& settings) {
  std::ifstream file(root + "/deploy/system.toml");
  std::string line;
  std::vector<std::string> words;
  while (std::getline(file, line)) {
    if (line.rfind("run = \"", 0) == 0) {
      std::istringstream rest(line.substr(7, line.rfind('"') - 7));
      std::string word;
      while (rest >> word) {
        words.push_back(word == "/etc/filbertshift/local.toml" ? settings
                                                               : word);
      }
    }
  }
  return words;
}

class Gateway {
 public:
  Gateway(std::string root, std::string folder, std::string name,
          std::string zone)
      : root_(std::move(root)),
        folder_(std::move(folder)),
        name_(std::move(name)),
        zone_(std::move(zone)),
        front_(FreeAddress()),
        ready_(FreeAddress()),
        control_(FreeAddress()) {}
  ~Gateway() { Kill(); }
  const std::string& name() const { return name_; }
  const std::string& front() const { return front_; }
  const std::string& control() const { return control_; }

  void Start(const std::string& store, const std::vector<std::string>& seeds) {
    json values = SmallSettings();
    values["node_name"] = name_;
    values["zone"] = zone_;
    values["listen"] = {
        {"front", front_}, {"ready", ready_}, {"control", control_}};
    values["platform"] = {{"address", store}};
    values["seeds"] = seeds;
    std::ifstream file(root_ + "/deploy/settings.template");
    std::stringstream text;
    text << file.rdbuf();
    std::string path = folder_ + "/" + name_ + ".json";
    std::ofstream(path) << Template::Fill(text.str(), values);
    std::vector<std::string> words = RunCommand(root_, path);
    std::string log = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (chdir(root_.c_str()) != 0 ||
          freopen(log.c_str(), "a", stdout) == nullptr ||
          freopen(log.c_str(), "a", stderr) == nullptr) {
        _exit(127);
      }
      std::vector<char*> arguments;
      for (std::string& word : words) {
        arguments.push_back(word.data());
      }
      arguments.push_back(nullptr);
      execv(arguments[0], arguments.data());
      _exit(127);
    }
    Log().Line("process %s started", name_.c_str());
  }
  bool IsReady() const {
    int fd = standin::Connect(ready_, 0.3);
    if (fd < 0) {
      return false;
    }
    Message answer;
    std::string pending;
    SendAll(fd, "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    ReadResult result = ReadMessage(fd, true, &pending, Now() + 0.5, &answer);
    close(fd);
    return result == ReadResult::kWhole && answer.status == 200;
  }
  bool WaitReady(double seconds) const {
    double end = Now() + seconds;
    while (Now() < end) {
      if (IsReady()) {
        return true;
      }
      Sleep(0.05);
    }
    return false;
  }
  void Signal(int number) const {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  // Whether the process has ended by itself.
  bool HasEnded() {
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      Log().Line("process %s ended by itself, status %d", name_.c_str(),
                 status);
      pid_ = -1;
      return true;
    }
    return false;
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }

 private:
  const std::string root_, folder_, name_, zone_;
  const std::string front_, ready_, control_;
  pid_t pid_ = -1;
};

// ---------------------------------------------------------------- command

// run.sh passes: the repository, the path of record.txt, a temporary folder.
struct Arguments {
  std::string root, record, temporary;
  bool trouble = true;
};
inline Arguments Begin(int argc, char** argv) {
  if (argc != 4) {
    fprintf(stderr, "usage: case REPOSITORY RECORD TEMPORARY_FOLDER\n");
    _exit(2);
  }
  signal(SIGPIPE, SIG_IGN);
  StartTime();
  Arguments arguments{argv[1], argv[2], argv[3], true};
  const char* trouble = getenv("TROUBLE");
  arguments.trouble = trouble == nullptr || std::string(trouble) != "0";
  Log().Open(arguments.record);
  Log().Line("trouble %s", arguments.trouble ? "on" : "off");
  if (access((arguments.root + "/target/filbertshift-gatewayd").c_str(),
             X_OK) != 0) {
    fprintf(stderr, "target/filbertshift-gatewayd is not built\n");
    _exit(2);
  }
  return arguments;
}

}  // namespace standin

#endif  // REVIEW_STANDIN2_STANDIN_HPP_
