// Encodes the messages between instances with msgpack: one array for each
// message, its first item the type and the others the fields in order. On the
// stream, four bytes of length, big-endian, precede each message.

#ifndef SRC_PEER_PEER_CODEC_H_
#define SRC_PEER_PEER_CODEC_H_

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/ports/peer_port.h"

namespace filbertshift {

// The first message on each stream; names the sender.
struct PeerHello {
  InstanceId instance;
};

using PeerFrame = std::variant<PeerHello, PeerMessage>;

// The input is not a valid message.
class PeerCodecError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// With the length prefix. Throws PeerCodecError if the message is longer than
// the prefix can express.
std::string EncodePeerFrame(const PeerFrame& frame);

// Takes one message without its length prefix. Fields after the known ones are
// ignored, so that a later version can add some. Throws PeerCodecError.
PeerFrame DecodePeerFrame(std::string_view bytes);

// Cuts a stream into messages.
class PeerFrameReader {
 public:
  explicit PeerFrameReader(std::size_t max_message_bytes)
      : max_message_bytes_(max_message_bytes) {}
  // Returns the messages that are complete, without length prefix. Throws
  // PeerCodecError when a prefix announces more than the maximum.
  std::vector<std::string> Add(std::string_view bytes);

 private:
  const std::size_t max_message_bytes_;
  // Invariant: starts with a length prefix, or the start of one.
  std::string pending_;
};

}  // namespace filbertshift

#endif  // SRC_PEER_PEER_CODEC_H_
