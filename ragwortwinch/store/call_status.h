// Derives the status of a store operation from how its HTTP call ended. Codes of failed answers differ
// between stores and are left to the caller.
//
//     if (std::optional<StoreStatus> known = statusOfCallEnd(result)) return *known;
//     switch (result.status) ...
#pragma once

#include "ragwortwinch/net/http_client.h"
#include "ragwortwinch/store/store_op.h"

#include <optional>

namespace ragwortwinch {

// Returns nothing when the store answered with a failure; the caller then examines the status code.
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
