#include "src/peer/peer_connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <new>
#include <system_error>
#include <utility>

namespace filbertshift {

namespace {

struct CallbacksDeleter {
  void operator()(nghttp2_session_callbacks* callbacks) const {
    nghttp2_session_callbacks_del(callbacks);
  }
};

void ThrowBadAllocOnError(int result) {
  if (result != 0) {
    throw std::bad_alloc();
  }
}

nghttp2_nv Header(std::string_view name, std::string_view value) {
  nghttp2_nv header{};
  // nghttp2 copies the name and the value and does not modify them.
  header.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
  header.namelen = name.size();
  header.value =
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
  header.valuelen = value.size();
  return header;
}

PeerConnection* Self(void* self) {
  return static_cast<PeerConnection*>(self);
}

}  // namespace

PeerConnection::PeerConnection(PeerRole role,
                               int descriptor,
                               const PeerMeshOptions& options,
                               TimePoint now)
    : role_(role),
      descriptor_(descriptor),
      last_received_(now),
      queue_(options.max_queued_messages, options.max_queued_bytes),
      reader_(options.max_message_bytes) {
  CreateSession();
  ThrowBadAllocOnError(
      nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, nullptr, 0));
  if (role_ == PeerRole::kConnecting) {
    StartRequest();
  }
}

PeerConnection::~PeerConnection() {
  close(descriptor_);
}

void PeerConnection::CreateSession() {
  nghttp2_session_callbacks* raw_callbacks = nullptr;
  ThrowBadAllocOnError(nghttp2_session_callbacks_new(&raw_callbacks));
  const std::unique_ptr<nghttp2_session_callbacks, CallbacksDeleter> callbacks(
      raw_callbacks);
  nghttp2_session_callbacks_set_on_frame_recv_callback(raw_callbacks, &OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(raw_callbacks,
                                                            &OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(raw_callbacks,
                                                         &OnStreamClose);
  nghttp2_session* session = nullptr;
  ThrowBadAllocOnError(
      role_ == PeerRole::kConnecting
          ? nghttp2_session_client_new(&session, raw_callbacks, this)
          : nghttp2_session_server_new(&session, raw_callbacks, this));
  session_.reset(session);
}

void PeerConnection::StartRequest() {
  const std::array<nghttp2_nv, 4> headers = {
      Header(":method", "POST"), Header(":scheme", "http"),
      Header(":authority", "peer"), Header(":path", "/peer")};
  nghttp2_data_provider body{};
  body.read_callback = &OnReadBody;
  stream_id_ = nghttp2_submit_request(session_.get(), nullptr, headers.data(),
                                      headers.size(), &body, nullptr);
  if (stream_id_ < 0) {
    throw std::bad_alloc();
  }
}

int PeerConnection::OnFrame(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* self) {
  Self(self)->ready_ = true;
  if (frame->hd.type == NGHTTP2_GOAWAY) {
    Self(self)->Fail("the other side closes the connection");
  }
  return 0;
}

int PeerConnection::OnData(nghttp2_session*,
                           std::uint8_t,
                           std::int32_t stream_id,
                           const std::uint8_t* data,
                           std::size_t size,
                           void* self) {
  PeerConnection* connection = Self(self);
  if (connection->stream_id_ < 0) {
    connection->stream_id_ = stream_id;
  } else if (connection->stream_id_ != stream_id) {
    connection->Fail("data on a second stream");
  }
  connection->AddBytes(
      std::string_view(reinterpret_cast<const char*>(data), size));
  return 0;
}

int PeerConnection::OnStreamClose(nghttp2_session*,
                                  std::int32_t,
                                  std::uint32_t,
                                  void* self) {
  Self(self)->Fail("the stream has ended");
  return 0;
}

ssize_t PeerConnection::OnReadBody(nghttp2_session*,
                                   std::int32_t,
                                   std::uint8_t* buffer,
                                   std::size_t size,
                                   std::uint32_t*,
                                   nghttp2_data_source*,
                                   void* self) {
  PeerConnection* connection = Self(self);
  if (connection->queue_.empty()) {
    connection->body_deferred_ = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  return static_cast<ssize_t>(connection->queue_.Read(buffer, size));
}

void PeerConnection::AddBytes(std::string_view bytes) {
  if (failed_) {
    return;
  }
  try {
    for (const std::string& frame : reader_.Add(bytes)) {
      received_.push_back(DecodePeerFrame(frame));
    }
  } catch (const PeerCodecError& error) {
    rejected_ = true;
    Fail(error.what());
  }
}

void PeerConnection::Fail(std::string reason) {
  if (!failed_) {
    failed_ = true;
    failure_ = std::move(reason);
  }
}

void PeerConnection::HandleReadable(TimePoint now) {
  constexpr std::size_t kBufferBytes = 65536;
  std::array<std::uint8_t, kBufferBytes> buffer{};
  const ssize_t count = recv(descriptor_, buffer.data(), buffer.size(), 0);
  if (count < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      Fail(std::generic_category().message(errno));
    }
    return;
  }
  if (count == 0) {
    Fail("the connection has ended");
    return;
  }
  last_received_ = now;
  const ssize_t consumed = nghttp2_session_mem_recv(
      session_.get(), buffer.data(), static_cast<std::size_t>(count));
  if (consumed < 0) {
    rejected_ = true;
    Fail(nghttp2_strerror(static_cast<int>(consumed)));
  }
}

bool PeerConnection::WriteOutput() {
  while (!output_.empty()) {
    const ssize_t sent =
        send(descriptor_, output_.data(), output_.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      // send() also fails with EAGAIN while the connection is being
      // established.
      if (errno != EAGAIN && errno != EINTR) {
        Fail(std::generic_category().message(errno));
      }
      return false;
    }
    output_.erase(0, static_cast<std::size_t>(sent));
  }
  return true;
}

void PeerConnection::Flush() {
  while (!failed_ && WriteOutput()) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session_.get(), &data);
    if (size < 0) {
      Fail(nghttp2_strerror(static_cast<int>(size)));
    }
    if (size <= 0) {
      break;
    }
    output_.assign(reinterpret_cast<const char*>(data),
                   static_cast<std::size_t>(size));
  }
  const bool ended = nghttp2_session_want_read(session_.get()) == 0 &&
                     nghttp2_session_want_write(session_.get()) == 0;
  if (ended) {
    Fail("the HTTP/2 session has ended");
  }
}

void PeerConnection::Ping() {
  nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
}

bool PeerConnection::Send(std::string frame, bool droppable) {
  if (!queue_.Push(std::move(frame), droppable)) {
    return false;
  }
  if (body_deferred_) {
    body_deferred_ = false;
    nghttp2_session_resume_data(session_.get(), stream_id_);
  }
  return true;
}

std::vector<PeerFrame> PeerConnection::TakeReceived() {
  return std::exchange(received_, std::vector<PeerFrame>());
}

}  // namespace filbertshift
