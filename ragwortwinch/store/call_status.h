// What the end of an HTTP call to a store means, before its status code is looked at.
//
//     if (std::optional<StoreStatus> known = statusOfCallEnd(result)) return *known;
//     switch (result.status) ...
#pragma once

#include "ragwortwinch/net/http_client.h"
#include "ragwortwinch/store/store_op.h"

#include <optional>

namespace ragwortwinch {

// Returns nothing when the store has answered with a failure, whose code says the rest.
inline std::optional<StoreStatus> statusOfCallEnd(const HttpCallResult& result)
{
    if (result.end == CallEnd::NotConnected)
        return StoreStatus::Unavailable;
    if (result.end != CallEnd::Complete)
        return StoreStatus::Unknown;
    if (result.isOk())
        return StoreStatus::Ok;
    return std::nullopt;
}

} // namespace ragwortwinch
