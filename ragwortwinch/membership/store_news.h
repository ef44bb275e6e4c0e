// What the VMs of a zone tell each other of changes that they have read from the store.
//
//     std::string frames = encodeStoreNews({era, changes});
//     std::optional<StoreNews> news = decodeStoreNews(frame.payload);
//
// Integers are big-endian. A change may grow at its end: decoders skip what they don't know.
#pragma once

#include "ragwortwinch/store/watchable_store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch {

struct StoreNews {
    // The era of the store that the changes belong to, if the store names one.
    std::optional<std::uint64_t> era;
    std::vector<StoreEvent> changes;
};

// Returns one whole frame.
std::string encodeStoreNews(const StoreNews& news);
// Returns nullopt if the payload is malformed.
std::optional<StoreNews> decodeStoreNews(std::string_view payload);

} // namespace ragwortwinch
