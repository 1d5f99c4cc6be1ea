// One HTTP/2 connection to or from another instance. The connecting side sends
// its messages in the body of a single POST request that stays open.

#ifndef SRC_PEER_PEER_CONNECTION_H_
#define SRC_PEER_PEER_CONNECTION_H_

#include <nghttp2/nghttp2.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/common/common.h"
#include "src/peer/message_queue.h"
#include "src/peer/peer.h"
#include "src/peer/peer_codec.h"

namespace filbertshift {

struct SessionDeleter {
  void operator()(nghttp2_session* session) const {
    nghttp2_session_del(session);
  }
};

enum class PeerRole { kConnecting, kAccepting };

class PeerConnection {
 public:
  // Takes ownership of the non-blocking socket. Throws std::bad_alloc.
  PeerConnection(PeerRole role,
                 int descriptor,
                 const PeerMeshOptions& options,
                 TimePoint now);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  // HandleReadable() reads received bytes; Flush() writes pending ones. After
  // either call, failed() tells whether the connection must be closed.
  void HandleReadable(TimePoint now);
  void Flush();
  void Ping();

  // Queues an encoded message; returns false if it was dropped.
  bool Send(std::string frame, bool droppable);
  // Returns the messages received since the last call.
  std::vector<PeerFrame> TakeReceived();

  int descriptor() const { return descriptor_; }
  PeerRole role() const { return role_; }
  bool failed() const { return failed_; }
  // Whether the failure is invalid input from the other side.
  bool rejected() const { return rejected_; }
  const std::string& failure() const { return failure_; }
  // Whether an HTTP/2 frame has been received from the other side.
  bool ready() const { return ready_; }
  bool wants_write() const { return !output_.empty(); }
  TimePoint last_received() const { return last_received_; }

 private:
  static int OnFrame(nghttp2_session* session,
                     const nghttp2_frame* frame,
                     void* self);
  static int OnData(nghttp2_session* session,
                    std::uint8_t flags,
                    std::int32_t stream_id,
                    const std::uint8_t* data,
                    std::size_t size,
                    void* self);
  static int OnStreamClose(nghttp2_session* session,
                           std::int32_t stream_id,
                           std::uint32_t error,
                           void* self);
  static ssize_t OnReadBody(nghttp2_session* session,
                            std::int32_t stream_id,
                            std::uint8_t* buffer,
                            std::size_t size,
                            std::uint32_t* flags,
                            nghttp2_data_source* source,
                            void* self);

  void CreateSession();
  void StartRequest();
  void AddBytes(std::string_view bytes);
  bool WriteOutput();
  void Fail(std::string reason);

  const PeerRole role_;
  const int descriptor_;
  TimePoint last_received_;
  MessageQueue queue_;
  PeerFrameReader reader_;
  std::vector<PeerFrame> received_;
  // Bytes of the HTTP/2 session that have not been written to the socket yet.
  std::string output_;
  // The stream of the messages; -1 until it is known.
  std::int32_t stream_id_ = -1;
  // nghttp2 waits for nghttp2_session_resume_data() before it reads the body.
  bool body_deferred_ = false;
  bool ready_ = false;
  bool failed_ = false;
  bool rejected_ = false;
  std::string failure_;
  std::unique_ptr<nghttp2_session, SessionDeleter> session_;
};

}  // namespace filbertshift

#endif  // SRC_PEER_PEER_CONNECTION_H_
