// What one VM tells the others about harmful prompt parts.
//
//     std::string bytes = encodeQuarantineNews(news, now);
//     std::optional<QuarantineNews> news = decodeQuarantineNews(bytes, now);
//
// The encoding holds ages instead of times, since each VM's clock has its own origin; the time in transit
// makes them look younger. A decoder ignores members that it doesn't know.
#pragma once

#include "ragwortwinch/quarantine/endpoint_crash.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch {

struct QuarantineNews {
    // Seen by the sender itself; each replaces its earlier report of the same crash.
    std::vector<EndpointCrash> crashes;
    // When prompts with these parts were last answered completely.
    std::map<TraitId, Instant> answeredAt;
    // Parts in quarantine, and until when.
    std::map<TraitId, Instant> quarantinedUntil;
    // Parts that the sender has released from quarantine.
    std::set<TraitId> released;

    bool isEmpty() const
    {
        return crashes.empty() && answeredAt.empty() && quarantinedUntil.empty() && released.empty();
    }
};

// A decoder reads at most this many crashes, prompts of a crash, parts of a prompt, and parts in each list.
inline constexpr std::size_t maxNewsItems = 4096;

std::string encodeQuarantineNews(const QuarantineNews& news, Instant now);
// Returns nullopt if the bytes are malformed.
std::optional<QuarantineNews> decodeQuarantineNews(std::string_view bytes, Instant now);

// Part ids are written in hexadecimal, as callers write them.
std::string partIdText(TraitId part);
std::optional<TraitId> parsePartId(std::string_view text);

} // namespace ragwortwinch
