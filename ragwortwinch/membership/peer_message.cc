#include "ragwortwinch/membership/peer_message.h"

#include "ragwortwinch/base/json.h"

#include <cmath>
#include <fmt/format.h>

namespace ragwortwinch {

namespace {

constexpr std::size_t headerBytes = 6;
// Valid messages nest two levels below the root; the limit bounds the stack that a malformed one can use.
constexpr int maxDepth = 8;

// Parses a document, and fails at a nesting depth beyond that of any valid message.
class BoundedDomParser : public nlohmann::detail::json_sax_dom_parser<Json> {
public:
    explicit BoundedDomParser(Json& root)
        : nlohmann::detail::json_sax_dom_parser<Json>(root, false)
    {
    }
    bool start_object(std::size_t size)
    {
        return ++depth_ <= maxDepth && json_sax_dom_parser::start_object(size);
    }
    bool end_object() { return --depth_, json_sax_dom_parser::end_object(); }
    bool start_array(std::size_t size)
    {
        return ++depth_ <= maxDepth && json_sax_dom_parser::start_array(size);
    }
    bool end_array() { return --depth_, json_sax_dom_parser::end_array(); }

private:
    int depth_ = 0;
};

Json vmToJson(const VmInfo& vm)
{
    return Json::array({vm.name, vm.availabilityZone, vm.region, vm.entryAddress.host, vm.entryAddress.port,
        vm.peerAddress.host, vm.peerAddress.port, vm.incarnation, vm.isLeaving, vm.isReady, vm.linkMbps,
        vm.processorCores});
}

// Reads the items of an array in order; a missing or mistyped item throws a JSON exception or
// std::out_of_range.
class ArrayReader {
public:
    explicit ArrayReader(const Json& array)
        : array_(array)
    {
        if (!array.is_array())
            throw std::out_of_range("not an array");
    }
    const Json& next() { return array_.at(index_++); }
    // Digests of earlier releases end before the items that were added since.
    bool hasNext() const { return index_ < array_.size(); }
    template <typename T> T take() { return next().get<T>(); }
    // The library converts between number types silently, so the type is checked explicitly.
    std::uint64_t takeUnsigned()
    {
        const Json& item = next();
        if (!item.is_number_unsigned())
            throw std::out_of_range("not an unsigned number");
        return item.get<std::uint64_t>();
    }
    std::int64_t takeInteger()
    {
        const Json& item = next();
        if (!item.is_number_integer())
            throw std::out_of_range("not an integer");
        return item.get<std::int64_t>();
    }
    double takeCapacity()
    {
        double value = take<double>();
        if (!std::isfinite(value) || value < 0)
            throw std::out_of_range("not a capacity");
        return value;
    }
    SocketAddress takeAddress()
    {
        SocketAddress address;
        address.host = take<std::string>();
        std::uint64_t port = takeUnsigned();
        if (port > UINT16_MAX)
            throw std::out_of_range("not a port");
        address.port = static_cast<std::uint16_t>(port);
        return address;
    }

private:
    const Json& array_;
    std::size_t index_ = 0;
};

VmInfo readVm(const Json& array)
{
    ArrayReader reader(array);
    VmInfo vm;
    vm.name = reader.take<std::string>();
    vm.availabilityZone = reader.take<std::string>();
    vm.region = reader.take<std::string>();
    vm.entryAddress = reader.takeAddress();
    vm.peerAddress = reader.takeAddress();
    vm.incarnation = reader.takeUnsigned();
    vm.isLeaving = reader.take<bool>();
    vm.isReady = reader.take<bool>();
    if (!reader.hasNext())
        return vm;
    vm.linkMbps = reader.takeCapacity();
    vm.processorCores = reader.takeCapacity();
    return vm;
}

PeerDigest readDigest(const Json& array)
{
    ArrayReader reader(array);
    PeerDigest digest;
    digest.sender = readVm(reader.next());
    digest.sequence = reader.takeUnsigned();
    digest.echo = reader.takeUnsigned();
    digest.configVersion = reader.takeUnsigned();
    digest.confirmationAgeMillis = reader.takeInteger();
    digest.isStoreDown = reader.take<bool>();
    digest.leavingEndpoints = reader.take<std::map<std::string, std::uint64_t>>();
    for (const Json& item : reader.take<std::vector<Json>>()) {
        ArrayReader load(item);
        EndpointLoad entry;
        entry.endpoint = load.take<std::string>();
        entry.running = load.takeInteger();
        entry.kvBlocks = load.takeInteger();
        entry.promptTokens = load.takeInteger();
        entry.latePromptTokens = load.takeInteger();
        digest.loads.push_back(std::move(entry));
    }
    digest.unixMillis = reader.takeInteger();
    digest.usage = reader.take<std::string>();
    if (!reader.hasNext())
        return digest;
    for (const Json& item : reader.take<std::vector<Json>>()) {
        ArrayReader limit(item);
        PeerLimit entry;
        entry.endpoint = limit.take<std::string>();
        entry.incarnation = limit.takeInteger();
        entry.perSecond = limit.take<double>();
        if (!std::isfinite(entry.perSecond))
            throw std::out_of_range("not a limit");
        entry.ageMillis = limit.takeInteger();
        digest.limits.push_back(std::move(entry));
    }
    if (!reader.hasNext())
        return digest;
    digest.storeEra = reader.takeUnsigned();
    digest.eraSeenAtUnixMillis = reader.takeInteger();
    digest.usageProgress = reader.take<std::string>();
    return digest;
}

template <typename T, typename Read> std::optional<T> decode(std::string_view payload, Read read)
{
    Json document;
    BoundedDomParser parser(document);
    try {
        if (!Json::sax_parse(payload, &parser, Json::input_format_t::msgpack))
            return std::nullopt;
        return read(document);
    } catch (const Json::exception&) {
        return std::nullopt;
    } catch (const std::out_of_range&) {
        return std::nullopt;
    }
}

std::string toFrame(PeerMessageKind kind, const Json& message)
{
    std::vector<std::uint8_t> bytes = Json::to_msgpack(message);
    return encodeFrame(kind, std::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
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
    Json loads = Json::array();
    for (const EndpointLoad& load : digest.loads)
        loads.push_back(Json::array(
            {load.endpoint, load.running, load.kvBlocks, load.promptTokens, load.latePromptTokens}));
    Json limits = Json::array();
    for (const PeerLimit& limit : digest.limits)
        limits.push_back(Json::array({limit.endpoint, limit.incarnation, limit.perSecond, limit.ageMillis}));
    Json message = Json::array({vmToJson(digest.sender), digest.sequence, digest.echo, digest.configVersion,
        digest.confirmationAgeMillis, digest.isStoreDown, Json(digest.leavingEndpoints), loads,
        digest.unixMillis, digest.usage, limits});
    if (digest.storeEra) {
        for (Json item :
            {Json(*digest.storeEra), Json(digest.eraSeenAtUnixMillis), Json(digest.usageProgress)})
            message.push_back(std::move(item));
    }
    return toFrame(PeerMessageKind::Digest, message);
}

std::optional<PeerDigest> decodeDigest(std::string_view payload)
{
    return decode<PeerDigest>(payload, readDigest);
}

std::string encodeConfigBody(const ConfigBody& body)
{
    return toFrame(PeerMessageKind::ConfigBody, Json::array({body.head.toJson(), body.text}));
}

std::optional<ConfigBody> decodeConfigBody(std::string_view payload)
{
    return decode<ConfigBody>(payload, [](const Json& array) {
        ArrayReader reader(array);
        std::optional<ConfigHead> head = parseConfigHead(reader.take<std::string>());
        if (!head)
            throw std::out_of_range("not a configuration's head");
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
        problem_
            = fmt::format("the peer uses protocol version {}, this node {}; run the same release on both",
                version, peerProtocolVersion);
        return std::nullopt;
    }
    if (length > maxPeerFrameBytes) {
        problem_ = fmt::format(
            "the peer announced a frame of {} bytes, the limit is {}; check that it is a node of this system",
            length, maxPeerFrameBytes);
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
