// A crash of an endpoint, and the requests that were running there, as one VM saw them.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortwinch {

// Identifies what several requests may have in common: a part of their prompt, or the request as a whole.
using TraitId = std::uint64_t;

struct CrashedRequest {
    // The request as a whole, and all parts of its prompt but the last, which belongs to the prompt alone.
    std::vector<TraitId> traits;
    // When it was sent to the endpoint.
    Instant sentAt;
};

struct EndpointCrash {
    std::string endpoint;
    // Start time of the endpoint's process, which tells restarts under one id apart.
    std::int64_t incarnation = 0;
    // When the first connection was lost.
    Instant lostAt;
    std::vector<CrashedRequest> requests;
};

} // namespace ragwortwinch
