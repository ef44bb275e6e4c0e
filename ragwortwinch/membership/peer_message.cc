#include "ragwortwinch/membership/peer_message.h"

#include <fmt/format.h>
#include <msgpack.hpp>

namespace ragwortwinch {

namespace {

constexpr std::size_t headerBytes = 6;
// Bounds on what a payload may make the decoder allocate.
const msgpack::unpack_limit unpackLimit(100000, 100000, maxPeerFrameBytes, maxPeerFrameBytes, 16, 16);

using Packer = msgpack::packer<msgpack::sbuffer>;

void packAddress(Packer& packer, const SocketAddress& address)
{
    packer.pack(address.host);
    packer.pack(address.port);
}

void packVm(Packer& packer, const VmInfo& vm)
{
    packer.pack_array(10);
    packer.pack(vm.name);
    packer.pack(vm.availabilityZone);
    packer.pack(vm.region);
    packAddress(packer, vm.entryAddress);
    packAddress(packer, vm.peerAddress);
    packer.pack(vm.incarnation);
    packer.pack(vm.isLeaving);
    packer.pack(vm.isReady);
}

// Reads the items of an array in order; a missing or mistyped item throws msgpack::type_error.
class ArrayReader {
public:
    explicit ArrayReader(const msgpack::object& object)
    {
        if (object.type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        items_ = object.via.array.ptr;
        size_ = object.via.array.size;
    }
    const msgpack::object& next()
    {
        if (index_ >= size_)
            throw msgpack::type_error();
        return items_[index_++];
    }
    template <typename T> T take() { return next().as<T>(); }
    SocketAddress takeAddress()
    {
        SocketAddress address;
        address.host = take<std::string>();
        address.port = take<std::uint16_t>();
        return address;
    }

private:
    const msgpack::object* items_ = nullptr;
    std::uint32_t size_ = 0;
    std::uint32_t index_ = 0;
};

VmInfo readVm(const msgpack::object& object)
{
    ArrayReader reader(object);
    VmInfo vm;
    vm.name = reader.take<std::string>();
    vm.availabilityZone = reader.take<std::string>();
    vm.region = reader.take<std::string>();
    vm.entryAddress = reader.takeAddress();
    vm.peerAddress = reader.takeAddress();
    vm.incarnation = reader.take<std::uint64_t>();
    vm.isLeaving = reader.take<bool>();
    vm.isReady = reader.take<bool>();
    return vm;
}

PeerDigest readDigest(const msgpack::object& object)
{
    ArrayReader reader(object);
    PeerDigest digest;
    digest.sender = readVm(reader.next());
    digest.sequence = reader.take<std::uint64_t>();
    digest.echo = reader.take<std::uint64_t>();
    digest.configVersion = reader.take<std::uint64_t>();
    digest.proofAgeMillis = reader.take<std::int64_t>();
    digest.isStoreDown = reader.take<bool>();
    digest.leavingEndpoints = reader.take<std::map<std::string, std::uint64_t>>();
    for (const msgpack::object& item : reader.take<std::vector<msgpack::object>>()) {
        ArrayReader share(item);
        EndpointShare entry;
        entry.endpoint = share.take<std::string>();
        entry.running = share.take<std::int64_t>();
        entry.pieces = share.take<std::int64_t>();
        digest.shares.push_back(std::move(entry));
    }
    return digest;
}

template <typename T, typename Read> std::optional<T> decode(std::string_view payload, Read read)
{
    try {
        msgpack::object_handle handle
            = msgpack::unpack(payload.data(), payload.size(), nullptr, nullptr, unpackLimit);
        return read(handle.get());
    } catch (const msgpack::unpack_error&) {
        return std::nullopt;
    } catch (const msgpack::type_error&) {
        return std::nullopt;
    }
}

} // namespace

std::string encodeFrame(PeerMessageKind kind, std::string_view payload)
{
    std::string frame;
    frame.reserve(headerBytes + payload.size());
    std::uint32_t length = static_cast<std::uint32_t>(payload.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        frame += static_cast<char>(length >> shift);
    frame += static_cast<char>(peerProtocolVersion);
    frame += static_cast<char>(kind);
    frame += payload;
    return frame;
}

std::string encodeDigest(const PeerDigest& digest)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(8);
    packVm(packer, digest.sender);
    packer.pack(digest.sequence);
    packer.pack(digest.echo);
    packer.pack(digest.configVersion);
    packer.pack(digest.proofAgeMillis);
    packer.pack(digest.isStoreDown);
    packer.pack(digest.leavingEndpoints);
    packer.pack_array(static_cast<std::uint32_t>(digest.shares.size()));
    for (const EndpointShare& share : digest.shares) {
        packer.pack_array(3);
        packer.pack(share.endpoint);
        packer.pack(share.running);
        packer.pack(share.pieces);
    }
    return encodeFrame(PeerMessageKind::Digest, std::string_view(buffer.data(), buffer.size()));
}

std::optional<PeerDigest> decodeDigest(std::string_view payload)
{
    return decode<PeerDigest>(payload, readDigest);
}

std::string encodeConfigBody(const ConfigBody& body)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(2);
    packer.pack(body.head.toJson());
    packer.pack(body.text);
    return encodeFrame(PeerMessageKind::ConfigBody, std::string_view(buffer.data(), buffer.size()));
}

std::optional<ConfigBody> decodeConfigBody(std::string_view payload)
{
    return decode<ConfigBody>(payload, [](const msgpack::object& object) {
        ArrayReader reader(object);
        std::optional<ConfigHead> head = parseConfigHead(reader.take<std::string>());
        if (!head)
            throw msgpack::type_error();
        return ConfigBody{*head, reader.take<std::string>()};
    });
}

std::optional<PeerFrame> PeerFrameReader::next()
{
    if (isBroken() || buffer_.size() < headerBytes)
        return std::nullopt;
    std::uint32_t length = 0;
    for (std::size_t index = 0; index < 4; ++index)
        length = length << 8 | static_cast<unsigned char>(buffer_[index]);
    std::uint8_t version = static_cast<std::uint8_t>(buffer_[4]);
    if (version != peerProtocolVersion) {
        problem_ = fmt::format("the peer speaks protocol version {}, this node {}; bring both to one release",
            version, peerProtocolVersion);
        return std::nullopt;
    }
    if (length > maxPeerFrameBytes) {
        problem_ = fmt::format(
            "the peer announced a frame of {} bytes, the limit is {}; is it a node of this system?", length,
            maxPeerFrameBytes);
        return std::nullopt;
    }
    if (buffer_.size() < headerBytes + length)
        return std::nullopt;
    PeerFrame frame;
    frame.kind = static_cast<PeerMessageKind>(buffer_[5]);
    frame.payload = buffer_.substr(headerBytes, length);
    buffer_.erase(0, headerBytes + length);
    return frame;
}

} // namespace ragwortwinch
