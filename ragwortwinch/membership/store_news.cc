#include "ragwortwinch/membership/store_news.h"

#include "ragwortwinch/base/byte_codec.h"
#include "ragwortwinch/membership/peer_message.h"

namespace ragwortwinch {

namespace {

// The bits of the frame's and of a change's flags.
constexpr std::uint8_t eraFlag = 1;
constexpr std::uint8_t removalFlag = 1;

} // namespace

std::string encodeStoreNews(const StoreNews& news)
{
    ByteWriter writer;
    writer.integer(news.era ? eraFlag : std::uint8_t(0));
    writer.integer(news.era.value_or(0));
    for (const StoreEvent& change : news.changes) {
        ByteWriter item;
        item.integer(change.isRemoval ? removalFlag : std::uint8_t(0));
        item.integer(change.revision);
        item.text(change.key);
        item.text(change.value);
        writer.text(item.bytes());
    }
    return encodeFrame(PeerMessageKind::StoreNews, writer.bytes());
}

std::optional<StoreNews> decodeStoreNews(std::string_view payload)
{
    ByteReader reader(payload);
    StoreNews news;
    std::uint8_t flags = reader.integer<std::uint8_t>();
    std::uint64_t era = reader.integer<std::uint64_t>();
    if (flags & eraFlag)
        news.era = era;
    while (!reader.isAtEnd()) {
        ByteReader item(reader.text());
        StoreEvent change;
        change.isRemoval = item.integer<std::uint8_t>() & removalFlag;
        change.revision = item.integer<std::uint64_t>();
        change.key = item.text();
        change.value = item.text();
        if (!item.isValid())
            return std::nullopt;
        news.changes.push_back(std::move(change));
    }
    return reader.isValid() ? std::optional<StoreNews>(std::move(news)) : std::nullopt;
}

} // namespace ragwortwinch
