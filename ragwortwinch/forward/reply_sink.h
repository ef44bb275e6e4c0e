// The way back to one caller: takes exactly one answer, whole or as a stream.
#pragma once

#include <functional>
#include <string>

namespace ragwortwinch {

// Belongs to the forwarding thread.
class ReplySink {
public:
    virtual ~ReplySink() = default;
    // Sends a whole answer. `head` is the status line and the fields, without length and blank line.
    virtual void sendWhole(std::string head, std::string body, bool hasNoBody) = 0;
    // Starts a chunked answer with its first bytes. `onWritten` runs when more can be taken.
    virtual void beginStream(std::string head, std::string first, std::function<void()> onWritten) = 0;
    virtual void writeStream(std::string bytes, std::function<void()> onWritten) = 0;
    // Ends a chunked answer as complete, after its last bytes.
    virtual void endStream(std::string last) = 0;
    // Breaks the connection, so that the answer doesn't look complete.
    virtual void abort() = 0;
};

} // namespace ragwortwinch
