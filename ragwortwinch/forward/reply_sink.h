// Writes exactly one reply to a caller, whole or as a stream.
#pragma once

#include <functional>
#include <string>

namespace ragwortwinch {

// Confined to the forwarding thread.
class ReplySink {
public:
    virtual ~ReplySink() = default;
    // Sends a whole reply. `head` is the status line and the fields, without Content-Length and blank line.
    // With `hasNoBody`, for HEAD requests, `body` only sets Content-Length.
    virtual void sendWhole(std::string head, std::string body, bool hasNoBody) = 0;
    // Starts a streamed reply with its first bytes. `onWritten` runs when more can be written.
    virtual void beginStream(std::string head, std::string first, std::function<void()> onWritten) = 0;
    virtual void writeStream(std::string bytes, std::function<void()> onWritten) = 0;
    // Writes the last bytes of a streamed reply and completes it.
    virtual void endStream(std::string last) = 0;
    // Looks at the connection without waiting. If the caller has left, ends the exchange and returns true.
    virtual bool endIfCallerGone() = 0;
    // Resets the connection, so that the caller sees that the reply is incomplete.
    virtual void abort() = 0;
};

} // namespace ragwortwinch
