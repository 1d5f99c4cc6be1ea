// A worker of a plain service, and a client, for the scripts of this review.

#ifndef REVIEW_STANDIN2_WORKER_HPP_
#define REVIEW_STANDIN2_WORKER_HPP_

#include "standin.hpp"

namespace standin {

// One run of a request at a worker.
struct Run {
  double at = 0;
  std::string request, session, worker, version;
  int status = 0;
};

// What workers and clients have seen.
class History {
 public:
  void OnRun(Run run) {
    Log().Line("runs %s session=%s worker=%s version=%s -> %d",
               run.request.c_str(), run.session.c_str(), run.worker.c_str(),
               run.version.c_str(), run.status);
    std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back(std::move(run));
  }
  std::vector<Run> runs() {
    std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }

 private:
  std::mutex mutex_;
  std::vector<Run> runs_;
};

struct WorkerOptions {
  std::string id, service, version = "v1", zone = "zone-a";
  int slots = 6;
  int queue = 24;
  double work = 0.06;
  // Share of the answers that are failures (500) of runs.
  double fail_share = 0;
};

class Worker {
 public:
  Worker(WorkerOptions options, Store* store, History* history)
      : options_(std::move(options)),
        store_(store),
        history_(history),
        random_(static_cast<unsigned>(std::hash<std::string>()(options_.id))),
        server_([this](int fd) { Serve(fd); }) {}
  ~Worker() { Stop(); }
  const std::string& id() const { return options_.id; }

  // Writes the entry under servers/ID, and again as it changes. An entry in
  // which nothing but `sequence` changes is not written anew.
  void Register(const std::string& state) {
    born_ = born_ == 0 ? 1700000000000 + static_cast<std::int64_t>(Now() * 1000)
                       : born_;
    store_->Put("servers", options_.id,
                {{"service", options_.service},
                 {"address", server_.address()},
                 {"zone", options_.zone},
                 {"version", options_.version},
                 {"slots", options_.slots},
                 {"state", state},
                 {"cold_remaining_ms", 0},
                 {"sequence", ++sequence_},
                 {"born", born_}});
    Log().Line("worker %s %s reports %s", options_.id.c_str(),
               options_.version.c_str(), state.c_str());
  }
  void Unregister() {
    store_->Remove("servers", options_.id);
    Log().Line("worker %s is gone from the list", options_.id.c_str());
  }
  // The end of the process.
  void Stop() { server_.Stop(); }

 private:
  void Serve(int fd) {
    std::string pending;
    for (;;) {
      Message request;
      if (ReadMessage(fd, false, &pending, Now() + 10, &request) !=
          ReadResult::kWhole) {
        return;
      }
      std::string answer = Answer(request);
      if (!SendAll(fd, answer)) {
        return;
      }
    }
  }

  std::string Answer(const Message& request) {
    std::string id = request.Field("filbertshift-attempt-id");
    if (request.Field("filbertshift-expect-instance") != options_.id) {
      return Response(421, {{"Filbertshift-Instance-Id", options_.id}}, "");
    }
    if (id.empty()) {
      return Response(400, {{"Filbertshift-Not-Executed", "1"}}, "");
    }
    bool fails;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      if (running_ >= options_.slots && waiting_ >= options_.queue) {
        return Response(503,
                        {{"Filbertshift-Not-Executed", "1"},
                         {"Filbertshift-Attempt-Id", id}},
                        "");
      }
      ++waiting_;
      free_.wait(lock, [this] { return running_ < options_.slots; });
      --waiting_;
      ++running_;
      fails = std::uniform_real_distribution<>(0, 1)(random_) <
              options_.fail_share;
    }
    int status = fails ? 500 : 200;
    history_->OnRun({Now(), id, request.Field("session"), options_.id,
                     options_.version, status});
    Sleep(options_.work);
    {
      std::lock_guard<std::mutex> lock(mutex_);
      --running_;
    }
    free_.notify_one();
    return Response(status,
                    {{"Filbertshift-Attempt-Id", id},
                     {"Filbertshift-Response-Seal", "seal-" + id}},
                    "answer to " + id);
  }

  const WorkerOptions options_;
  Store* const store_;
  History* const history_;
  std::mt19937 random_;
  std::mutex mutex_;
  std::condition_variable free_;
  int running_ = 0;
  int waiting_ = 0;
  int sequence_ = 0;
  std::int64_t born_ = 0;
  Server server_;
};

// A client with one kept connection to one gateway.
class Client {
 public:
  explicit Client(std::string address) : address_(std::move(address)) {}
  ~Client() { Close(); }

  struct Answer {
    ReadResult result = ReadResult::kNothing;
    int status = 0;
    std::string seal, body, retry_after;
  };
  Answer Send(const std::string& head, const std::string& body,
              double deadline) {
    Answer answer;
    if (fd_ < 0) {
      fd_ = Connect(address_, 1);
      pending_.clear();
    }
    if (fd_ < 0 || !SendAll(fd_, head + body)) {
      Close();
      answer.result = ReadResult::kReset;
      return answer;
    }
    Message message;
    answer.result = ReadMessage(fd_, true, &pending_, Now() + deadline, &message);
    answer.status = message.status;
    answer.seal = message.Field("filbertshift-response-seal");
    answer.retry_after = message.Field("retry-after");
    answer.body = message.body;
    if (answer.result != ReadResult::kWhole ||
        message.Field("connection") == "close") {
      Close();
    }
    return answer;
  }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }

 private:
  const std::string address_;
  int fd_ = -1;
  std::string pending_;
};

}  // namespace standin

#endif  // REVIEW_STANDIN2_WORKER_HPP_
