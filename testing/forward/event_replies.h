// Parts of replies that stream events, for endpoints of a test.
//
//     socket.send(streamHead(request) + chunkOf(event(1)) + lastChunk);
#pragma once

#include "testing/forward/fake_endpoint.h"

#include <string>

namespace ragwortwinch::testing {

inline constexpr const char* lastChunk = "0\r\n\r\n";

inline std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece" + std::to_string(number) + "\n\n";
}

// `extra` is further fields, each with its line end.
inline std::string streamHead(const std::string& request, const std::string& extra = "")
{
    return "HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id") + "\r\n" + extra
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

} // namespace ragwortwinch::testing
