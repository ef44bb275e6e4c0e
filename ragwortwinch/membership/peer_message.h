// The messages between nodes and their wire format: payload length, version, kind, and a msgpack payload.
//
//     std::string frame = encodeDigest(digest);
//     PeerFrameReader reader;
//     reader.append(bytes);
//     while (std::optional<PeerFrame> frame = reader.next()) ...
#pragma once

#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/config/config_head.h"
#include "ragwortwinch/membership/peer_digest.h"

#include <optional>
#include <string>
#include <string_view>

namespace ragwortwinch {

enum class PeerMessageKind : std::uint8_t {
    Digest = 1,
    // Requests the peer's current configuration.
    ConfigRequest = 2,
    ConfigBody = 3,
    // Crashes and harmful prompt parts; see quarantine/quarantine_news.h.
    QuarantineNews = 4,
    // See membership/peer_heartbeat.h. Releases that don't know these three ignore them.
    Capabilities = 5,
    Heartbeat = 6,
    News = 7,
    // See membership/store_news.h. Sent to peers that announce that they understand it.
    StoreNews = 8,
};

inline constexpr std::uint8_t peerProtocolVersion = 1;
// A frame with a longer payload is rejected before anything is allocated.
inline constexpr std::uint32_t maxPeerFrameBytes = 8 * 1024 * 1024;

struct PeerFrame {
    PeerMessageKind kind = PeerMessageKind::Digest;
    std::string payload;
};

struct ConfigBody {
    ConfigHead head;
    std::string text;
};

std::string encodeFrame(PeerMessageKind, std::string_view payload);
std::string encodeDigest(const PeerDigest&);
std::string encodeConfigBody(const ConfigBody&);
// The decoders return nothing if the payload is malformed.
std::optional<PeerDigest> decodeDigest(std::string_view payload);
std::optional<ConfigBody> decodeConfigBody(std::string_view payload);

// Splits a byte stream into frames. Not thread-safe.
class PeerFrameReader {
public:
    void append(std::string_view bytes) { buffer_.append(bytes); }
    // Returns the next complete frame, or nothing.
    std::optional<PeerFrame> next();
    // True once the stream is malformed; close the connection then.
    bool isBroken() const { return !problem_.empty(); }
    const std::string& problem() const { return problem_; }

private:
    std::string buffer_;
    std::string problem_;
};

} // namespace ragwortwinch
