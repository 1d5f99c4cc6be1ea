// Encodes the messages between instances with msgpack. Each message is an array
// that contains the message type and then the fields in order. On the stream,
// each message is preceded by its length as a four-byte big-endian integer.

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

// The first message on each stream; identifies the sender.
struct PeerHello {
  InstanceId instance;
};

using PeerFrame = std::variant<PeerHello, PeerMessage>;

// The input is not a valid message.
class PeerCodecError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Encodes a message with its length prefix. Throws PeerCodecError if the length
// does not fit into the prefix.
std::string EncodePeerFrame(const PeerFrame& frame);

// Decodes a message without its length prefix. Ignores additional fields at the
// end, so that later versions can add fields. Throws PeerCodecError.
PeerFrame DecodePeerFrame(std::string_view bytes);

// Splits a byte stream into messages.
class PeerFrameReader {
 public:
  explicit PeerFrameReader(std::size_t max_message_bytes)
      : max_message_bytes_(max_message_bytes) {}
  // Adds received bytes and returns the messages that are now complete, without
  // length prefixes. Throws PeerCodecError if a prefix exceeds the maximum.
  std::vector<std::string> Add(std::string_view bytes);

 private:
  const std::size_t max_message_bytes_;
  // Invariant: starts at a message boundary.
  std::string pending_;
};

}  // namespace filbertshift

#endif  // SRC_PEER_PEER_CODEC_H_
