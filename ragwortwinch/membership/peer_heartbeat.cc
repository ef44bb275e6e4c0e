#include "ragwortwinch/membership/peer_heartbeat.h"

#include "ragwortwinch/base/byte_codec.h"
#include "ragwortwinch/membership/peer_message.h"

#include <bit>
#include <cmath>

namespace ragwortwinch {

namespace {

// The bits of a heartbeat's flags.
constexpr std::uint8_t readyFlag = 1;
constexpr std::uint8_t leavingFlag = 2;
constexpr std::uint8_t storeDownFlag = 4;

enum class NewsSection : std::uint8_t {
    Loads = 1,
    Limits = 2,
    Usage = 3,
    StoreEra = 4,
    TeamDemands = 5,
};

// The bits of the announced capabilities: heartbeats and news, and changes from the store.
constexpr std::uint32_t heartbeatCapability = 1;
constexpr std::uint32_t storeNewsCapability = 2;

std::uint32_t readCapabilities(std::string_view payload)
{
    ByteReader reader(payload);
    std::uint32_t capabilities = reader.integer<std::uint32_t>();
    return reader.isValid() ? capabilities : 0;
}

void appendSection(ByteWriter& news, NewsSection section, const ByteWriter& content)
{
    news.integer(static_cast<std::uint8_t>(section));
    news.text(content.bytes());
}

ByteWriter writeLoads(const std::vector<EndpointLoad>& loads)
{
    ByteWriter writer;
    for (const EndpointLoad& load : loads) {
        writer.shortText(load.endpoint);
        for (std::int64_t figure : {load.running, load.kvBlocks, load.promptTokens, load.latePromptTokens})
            writer.count(figure);
    }
    return writer;
}

std::vector<EndpointLoad> readLoads(ByteReader& reader)
{
    std::vector<EndpointLoad> loads;
    while (!reader.isAtEnd()) {
        EndpointLoad load;
        load.endpoint = reader.shortText();
        for (std::int64_t* figure :
            {&load.running, &load.kvBlocks, &load.promptTokens, &load.latePromptTokens})
            *figure = reader.count();
        loads.push_back(std::move(load));
    }
    return loads;
}

ByteWriter writeLimits(const std::vector<PeerLimit>& limits)
{
    ByteWriter writer;
    for (const PeerLimit& limit : limits) {
        writer.shortText(limit.endpoint);
        writer.integer(limit.incarnation);
        writer.integer(std::bit_cast<std::uint64_t>(limit.perSecond));
        writer.integer(limit.ageMillis);
    }
    return writer;
}

// Returns nullopt if a limit is not a number.
std::optional<std::vector<PeerLimit>> readLimits(ByteReader& reader)
{
    std::vector<PeerLimit> limits;
    while (!reader.isAtEnd()) {
        PeerLimit limit;
        limit.endpoint = reader.shortText();
        limit.incarnation = reader.integer<std::int64_t>();
        limit.perSecond = std::bit_cast<double>(reader.integer<std::uint64_t>());
        limit.ageMillis = reader.integer<std::int64_t>();
        if (!std::isfinite(limit.perSecond))
            return std::nullopt;
        limits.push_back(std::move(limit));
    }
    return limits;
}

ByteWriter writeDemands(const std::vector<PeerTeamDemand>& demands)
{
    ByteWriter writer;
    for (const PeerTeamDemand& demand : demands) {
        writer.text(demand.team);
        writer.count(demand.countedSince);
        writer.count(demand.admitted);
        writer.count(demand.perSecond);
        writer.integer(demand.level);
    }
    return writer;
}

std::vector<PeerTeamDemand> readDemands(ByteReader& reader)
{
    std::vector<PeerTeamDemand> demands;
    while (!reader.isAtEnd()) {
        PeerTeamDemand demand;
        demand.team = reader.text();
        demand.countedSince = reader.count();
        demand.admitted = reader.count();
        demand.perSecond = reader.count();
        demand.level = reader.integer<std::int64_t>();
        demands.push_back(std::move(demand));
    }
    return demands;
}

StoreEraNews readStoreEra(ByteReader& reader)
{
    StoreEraNews news;
    news.era = reader.integer<std::uint64_t>();
    news.seenAtUnixMillis = reader.integer<std::int64_t>();
    news.usageProgress = reader.text();
    return news;
}

} // namespace

std::string encodeHeartbeat(const PeerHeartbeat& heartbeat)
{
    ByteWriter writer;
    std::uint8_t flags = 0;
    flags |= heartbeat.isReady ? readyFlag : 0;
    flags |= heartbeat.isLeaving ? leavingFlag : 0;
    flags |= heartbeat.isStoreDown ? storeDownFlag : 0;
    writer.integer(heartbeat.incarnation);
    writer.integer(flags);
    writer.integer(heartbeat.configVersion);
    writer.integer(heartbeat.unixMillis);
    writer.count(heartbeat.lag.count());
    return encodeFrame(PeerMessageKind::Heartbeat, writer.bytes());
}

std::optional<PeerHeartbeat> decodeHeartbeat(std::string_view payload)
{
    ByteReader reader(payload);
    PeerHeartbeat heartbeat;
    heartbeat.incarnation = reader.integer<std::uint64_t>();
    std::uint8_t flags = reader.integer<std::uint8_t>();
    heartbeat.isReady = flags & readyFlag;
    heartbeat.isLeaving = flags & leavingFlag;
    heartbeat.isStoreDown = flags & storeDownFlag;
    heartbeat.configVersion = reader.integer<std::uint64_t>();
    heartbeat.unixMillis = reader.integer<std::int64_t>();
    heartbeat.lag = Millis(reader.count());
    return reader.isValid() ? std::optional<PeerHeartbeat>(heartbeat) : std::nullopt;
}

std::string encodeNews(const PeerNews& news)
{
    ByteWriter writer;
    if (news.loads)
        appendSection(writer, NewsSection::Loads, writeLoads(*news.loads));
    if (!news.limits.empty())
        appendSection(writer, NewsSection::Limits, writeLimits(news.limits));
    if (!news.usage.empty()) {
        writer.integer(static_cast<std::uint8_t>(NewsSection::Usage));
        writer.text(news.usage);
    }
    if (news.storeEra) {
        ByteWriter era;
        era.integer(news.storeEra->era);
        era.integer(news.storeEra->seenAtUnixMillis);
        era.text(news.storeEra->usageProgress);
        appendSection(writer, NewsSection::StoreEra, era);
    }
    if (!news.demands.empty())
        appendSection(writer, NewsSection::TeamDemands, writeDemands(news.demands));
    return encodeFrame(PeerMessageKind::News, writer.bytes());
}

std::optional<PeerNews> decodeNews(std::string_view payload)
{
    PeerNews news;
    ByteReader reader(payload);
    while (!reader.isAtEnd()) {
        std::uint8_t section = reader.integer<std::uint8_t>();
        std::string_view bytes = reader.text();
        ByteReader content(bytes);
        switch (static_cast<NewsSection>(section)) {
        case NewsSection::Loads:
            news.loads = readLoads(content);
            break;
        case NewsSection::Limits: {
            std::optional<std::vector<PeerLimit>> limits = readLimits(content);
            if (!limits)
                return std::nullopt;
            news.limits = std::move(*limits);
            break;
        }
        case NewsSection::Usage:
            news.usage = bytes;
            break;
        case NewsSection::StoreEra:
            news.storeEra = readStoreEra(content);
            break;
        case NewsSection::TeamDemands:
            news.demands = readDemands(content);
            break;
        }
        if (!content.isValid())
            return std::nullopt;
    }
    return reader.isValid() ? std::optional<PeerNews>(std::move(news)) : std::nullopt;
}

std::string encodeCapabilities()
{
    ByteWriter writer;
    writer.integer(heartbeatCapability | storeNewsCapability);
    return encodeFrame(PeerMessageKind::Capabilities, writer.bytes());
}

bool decodeCapabilities(std::string_view payload) { return readCapabilities(payload) & heartbeatCapability; }

bool announcesStoreNews(std::string_view payload) { return readCapabilities(payload) & storeNewsCapability; }

} // namespace ragwortwinch
