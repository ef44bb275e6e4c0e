// An endpoint's stream of a few events that pauses once and goes on.
//
//     FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
//         return stream(socket, request, Pause::BeforeThird);
//     });
//     checkWhole(caller.readUntil(lastChunk));
#pragma once

#include "testing/forward/event_replies.h"
#include "testing/forward/raw_socket.h"

#include <chrono>
#include <doctest/doctest.h>
#include <string>
#include <thread>

namespace ragwortwinch::testing {

inline constexpr int eventCount = 4;
// Longer than the first-byte timeout (600 ms) and the gap timeout (500 ms) of the sample routes.
inline constexpr std::chrono::milliseconds pauseTime{900};
// Longer than a stream's endpoint may pause before it is replaced.
inline constexpr std::chrono::milliseconds replacedPauseTime{1700};

// Where the reply pauses: before its head, or before the event of this number.
enum class Pause { None, BeforeHead, BeforeFirst, BeforeThird };

// Streams the events after the one that the request names. Returns whether the connection was open to the
// end.
inline bool stream(RawSocket& socket, const std::string& request, Pause pause,
    std::chrono::milliseconds pauseLength = pauseTime)
{
    auto pauseIf = [&](Pause here) {
        if (pause == here)
            std::this_thread::sleep_for(pauseLength);
    };
    std::string after = fieldOf(request, "Last-Event-Id");
    pauseIf(Pause::BeforeHead);
    socket.send("HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id")
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    pauseIf(Pause::BeforeFirst);
    for (int number = after.empty() ? 1 : std::stoi(after) + 1; number <= eventCount; ++number) {
        if (number == 3)
            pauseIf(Pause::BeforeThird);
        socket.send(chunkOf(event(number)));
    }
    socket.send(lastChunk);
    return true;
}

// Checks that each event came once, and the end.
inline void checkWhole(const std::string& answer)
{
    CHECK(answer.ends_with(lastChunk));
    for (int number = 1; number <= eventCount; ++number) {
        std::string piece = "piece" + std::to_string(number) + "\n";
        CHECK(answer.find(piece) != std::string::npos);
        CHECK(answer.find(piece) == answer.rfind(piece));
    }
}

} // namespace ragwortwinch::testing
