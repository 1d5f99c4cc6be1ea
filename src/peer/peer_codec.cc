#include "src/peer/peer_codec.h"

#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <utility>

namespace filbertshift {

namespace {

// The values are part of the protocol; a value is never reused for another
// message type.
enum class FrameType : std::uint32_t {
  kHello = 0,
  kHeartbeat = 1,
  kConfigurationSection = 2,
  kSuspect = 3,
  kSuspectCleared = 4,
  kChargeReplica = 5,
  kChargeReplicaAck = 6,
  kChargeStored = 7,
  kSessionBound = 8,
  kCandidateStopped = 9,
  kExecutionReplica = 10,
  kExecutionReplicaAck = 11,
};

constexpr std::size_t kPrefixBytes = 4;

// Limit on the nesting depth. A valid message is an array that contains
// lists.
constexpr std::size_t kMaxDepth = 4;

class Encoder {
 public:
  // `field_count` is the number of fields after the type.
  Encoder(FrameType type, std::uint32_t field_count) : packer_(buffer_) {
    packer_.pack_array(field_count + 1);
    packer_.pack(static_cast<std::uint32_t>(type));
  }

  template <class T>
  Encoder& Add(const T& value) {
    packer_.pack(value);
    return *this;
  }
  template <class Tag>
  Encoder& Add(const Id<Tag>& id) {
    return Add(id.value());
  }
  Encoder& Add(Fingerprint fingerprint) {
    return Add(static_cast<std::uint64_t>(fingerprint));
  }
  Encoder& Add(const std::vector<EndpointId>& endpoints) {
    packer_.pack_array(static_cast<std::uint32_t>(endpoints.size()));
    for (const EndpointId& endpoint : endpoints) {
      packer_.pack(endpoint.value());
    }
    return *this;
  }

  std::string ToString() const {
    return std::string(buffer_.data(), buffer_.size());
  }

 private:
  msgpack::sbuffer buffer_;
  msgpack::packer<msgpack::sbuffer> packer_;
};

std::string Encode(const PeerHello& message) {
  return Encoder(FrameType::kHello, 1).Add(message.instance).ToString();
}

std::string Encode(const PeerHeartbeat& message) {
  return Encoder(FrameType::kHeartbeat, 6)
      .Add(message.instance)
      .Add(message.data_centre)
      .Add(message.seat)
      .Add(message.incarnation)
      .Add(message.accepting)
      .Add(message.revisions)
      .ToString();
}

std::string Encode(const PeerConfigurationSection& message) {
  return Encoder(FrameType::kConfigurationSection, 3)
      .Add(message.section)
      .Add(message.revision)
      .Add(message.text)
      .ToString();
}

std::string Encode(const PeerSuspect& message) {
  return Encoder(FrameType::kSuspect, 2)
      .Add(message.fingerprint)
      .Add(message.endpoints)
      .ToString();
}

std::string Encode(const PeerSuspectCleared& message) {
  return Encoder(FrameType::kSuspectCleared, 1)
      .Add(message.fingerprint)
      .ToString();
}

std::string Encode(const PeerChargeReplica& message) {
  return Encoder(FrameType::kChargeReplica, 3)
      .Add(message.batch)
      .Add(message.charges)
      .Add(message.sequence)
      .ToString();
}

std::string Encode(const PeerChargeReplicaAck& message) {
  return Encoder(FrameType::kChargeReplicaAck, 2)
      .Add(message.batch)
      .Add(message.sequence)
      .ToString();
}

std::string Encode(const PeerChargeStored& message) {
  return Encoder(FrameType::kChargeStored, 1).Add(message.batch).ToString();
}

std::string Encode(const PeerSessionBound& message) {
  return Encoder(FrameType::kSessionBound, 4)
      .Add(message.account)
      .Add(message.session)
      .Add(message.model)
      .Add(message.version)
      .ToString();
}

std::string Encode(const PeerCandidateStopped& message) {
  return Encoder(FrameType::kCandidateStopped, 4)
      .Add(message.model)
      .Add(message.version)
      .Add(message.generation)
      .Add(message.reason)
      .ToString();
}

std::string Encode(const PeerExecutionReplica& message) {
  return Encoder(FrameType::kExecutionReplica, 9)
      .Add(message.account)
      .Add(message.idempotency_key)
      .Add(message.owner_token)
      .Add(message.request_hash)
      .Add(message.reserved)
      .Add(message.expected_version)
      .Add(message.value)
      .Add(message.stored)
      .Add(message.sequence)
      .ToString();
}

std::string Encode(const PeerExecutionReplicaAck& message) {
  return Encoder(FrameType::kExecutionReplicaAck, 2)
      .Add(message.owner_token)
      .Add(message.sequence)
      .ToString();
}

std::string Encode(const PeerMessage& message) {
  return std::visit([](const auto& item) { return Encode(item); }, message);
}

// Reads the fields of a message in order.
class Decoder {
 public:
  explicit Decoder(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY) {
      throw PeerCodecError("message is not an array");
    }
    items_ = object.via.array;
  }

  template <class T>
  Decoder& Read(T* value) {
    *value = Next().as<T>();
    return *this;
  }
  template <class Tag>
  Decoder& Read(Id<Tag>* id) {
    *id = Id<Tag>(Next().as<std::string>());
    return *this;
  }
  Decoder& Read(Fingerprint* fingerprint) {
    *fingerprint = static_cast<Fingerprint>(Next().as<std::uint64_t>());
    return *this;
  }
  Decoder& Read(std::vector<EndpointId>* endpoints) {
    for (std::string& endpoint : Next().as<std::vector<std::string>>()) {
      endpoints->emplace_back(std::move(endpoint));
    }
    return *this;
  }
  // Leaves the value unchanged if the sender's version lacks the field.
  template <class T>
  Decoder& ReadOptional(T* value) {
    return next_index_ < items_.size ? Read(value) : *this;
  }

 private:
  const msgpack::object& Next() {
    if (next_index_ >= items_.size) {
      throw PeerCodecError("message has too few fields");
    }
    return items_.ptr[next_index_++];
  }

  msgpack::object_array items_{};
  std::uint32_t next_index_ = 0;
};

PeerFrame DecodeHello(Decoder fields) {
  PeerHello message;
  fields.Read(&message.instance);
  if (message.instance.empty()) {
    throw PeerCodecError("the sender has no name");
  }
  return message;
}

PeerFrame DecodeHeartbeat(Decoder fields) {
  PeerHeartbeat message;
  fields.Read(&message.instance)
      .Read(&message.data_centre)
      .Read(&message.seat)
      .Read(&message.incarnation)
      .Read(&message.accepting)
      .Read(&message.revisions);
  return PeerMessage(std::move(message));
}

PeerFrame DecodeConfigurationSection(Decoder fields) {
  PeerConfigurationSection message;
  fields.Read(&message.section).Read(&message.revision).Read(&message.text);
  return PeerMessage(std::move(message));
}

PeerFrame DecodeSuspect(Decoder fields) {
  PeerSuspect message;
  fields.Read(&message.fingerprint).Read(&message.endpoints);
  return PeerMessage(std::move(message));
}

PeerFrame DecodeSuspectCleared(Decoder fields) {
  PeerSuspectCleared message;
  fields.Read(&message.fingerprint);
  return PeerMessage(message);
}

PeerFrame DecodeChargeReplica(Decoder fields) {
  PeerChargeReplica message;
  fields.Read(&message.batch).Read(&message.charges).Read(&message.sequence);
  return PeerMessage(std::move(message));
}

PeerFrame DecodeChargeReplicaAck(Decoder fields) {
  PeerChargeReplicaAck message;
  fields.Read(&message.batch).Read(&message.sequence);
  return PeerMessage(std::move(message));
}

PeerFrame DecodeChargeStored(Decoder fields) {
  PeerChargeStored message;
  fields.Read(&message.batch);
  return PeerMessage(std::move(message));
}

PeerFrame DecodeSessionBound(Decoder fields) {
  PeerSessionBound message;
  fields.Read(&message.account)
      .Read(&message.session)
      .Read(&message.model)
      .Read(&message.version);
  return PeerMessage(std::move(message));
}

PeerFrame DecodeCandidateStopped(Decoder fields) {
  PeerCandidateStopped message;
  fields.Read(&message.model)
      .Read(&message.version)
      .Read(&message.generation)
      .Read(&message.reason);
  return PeerMessage(std::move(message));
}

PeerFrame DecodeExecutionReplica(Decoder fields) {
  PeerExecutionReplica message;
  fields.Read(&message.account)
      .Read(&message.idempotency_key)
      .Read(&message.owner_token)
      .Read(&message.request_hash)
      .Read(&message.reserved)
      .Read(&message.expected_version)
      .Read(&message.value)
      .Read(&message.stored)
      .ReadOptional(&message.sequence);
  return PeerMessage(std::move(message));
}

PeerFrame DecodeExecutionReplicaAck(Decoder fields) {
  PeerExecutionReplicaAck message;
  fields.Read(&message.owner_token).Read(&message.sequence);
  return PeerMessage(std::move(message));
}

PeerFrame DecodeFields(Decoder fields) {
  std::uint32_t type = 0;
  fields.Read(&type);
  switch (static_cast<FrameType>(type)) {
    case FrameType::kHello:
      return DecodeHello(fields);
    case FrameType::kHeartbeat:
      return DecodeHeartbeat(fields);
    case FrameType::kConfigurationSection:
      return DecodeConfigurationSection(fields);
    case FrameType::kSuspect:
      return DecodeSuspect(fields);
    case FrameType::kSuspectCleared:
      return DecodeSuspectCleared(fields);
    case FrameType::kChargeReplica:
      return DecodeChargeReplica(fields);
    case FrameType::kChargeReplicaAck:
      return DecodeChargeReplicaAck(fields);
    case FrameType::kChargeStored:
      return DecodeChargeStored(fields);
    case FrameType::kSessionBound:
      return DecodeSessionBound(fields);
    case FrameType::kCandidateStopped:
      return DecodeCandidateStopped(fields);
    case FrameType::kExecutionReplica:
      return DecodeExecutionReplica(fields);
    case FrameType::kExecutionReplicaAck:
      return DecodeExecutionReplicaAck(fields);
  }
  throw PeerCodecError("unknown message type " + std::to_string(type));
}

void AppendPrefix(std::size_t size, std::string* out) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>((size >> shift) & 0xffU));
  }
}

std::size_t ReadPrefix(std::string_view bytes) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < kPrefixBytes; ++i) {
    size = (size << 8U) | static_cast<unsigned char>(bytes[i]);
  }
  return size;
}

}  // namespace

std::string EncodePeerFrame(const PeerFrame& frame) {
  const std::string payload =
      std::visit([](const auto& item) { return Encode(item); }, frame);
  if (payload.size() > std::numeric_limits<std::uint32_t>::max()) {
    throw PeerCodecError("message is too long");
  }
  std::string bytes;
  bytes.reserve(kPrefixBytes + payload.size());
  AppendPrefix(payload.size(), &bytes);
  bytes += payload;
  return bytes;
}

PeerFrame DecodePeerFrame(std::string_view bytes) {
  // A list of n items takes at least n bytes, so no valid message exceeds these
  // limits. Without them, a short message that declares a huge list would make
  // the decoder allocate memory for it.
  const std::size_t size = bytes.size();
  const msgpack::unpack_limit limit(size, size, size, size, size, kMaxDepth);
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), size, offset, nullptr, nullptr, limit);
    if (offset != size) {
      throw PeerCodecError("bytes after the end of the message");
    }
    return DecodeFields(Decoder(handle.get()));
  } catch (const msgpack::unpack_error& error) {
    throw PeerCodecError(error.what());
  } catch (const msgpack::type_error&) {
    throw PeerCodecError("a field has the wrong type");
  }
}

std::vector<std::string> PeerFrameReader::Add(std::string_view bytes) {
  pending_ += bytes;
  std::vector<std::string> frames;
  std::size_t frame_start = 0;
  while (pending_.size() - frame_start >= kPrefixBytes) {
    const std::size_t size = ReadPrefix(
        std::string_view(pending_).substr(frame_start, kPrefixBytes));
    if (size > max_message_bytes_) {
      throw PeerCodecError("message of " + std::to_string(size) +
                           " bytes is too long");
    }
    if (pending_.size() - frame_start - kPrefixBytes < size) {
      break;
    }
    frames.push_back(pending_.substr(frame_start + kPrefixBytes, size));
    frame_start += kPrefixBytes + size;
  }
  pending_.erase(0, frame_start);
  return frames;
}

}  // namespace filbertshift
