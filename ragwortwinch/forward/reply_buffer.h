// Holds a whole reply while it is read, within a limit on all whole replies that a VM reads or writes.
//
//     ReplyMemory memory;
//     ReplyBuffer body(memory);
//     if (!body.append(chunk)) end the attempt;
//     send(body.take());
//
// Confined to the forwarding thread.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace ragwortwinch {

// What the replies of a VM hold together.
struct ReplyMemory {
    // Limit on one reply.
    static constexpr std::size_t maxReplyBytes = 16 * 1024 * 1024;
    // Limit on all replies together. Beyond it, only those of at most `smallReplyBytes` are read on.
    static constexpr std::size_t maxBytes = 32 * 1024 * 1024;
    static constexpr std::size_t smallReplyBytes = 256 * 1024;

    std::size_t bytes = 0;
};

class ReplyBuffer {
public:
    // `memory` must outlive the buffer.
    explicit ReplyBuffer(ReplyMemory& memory)
        : memory_(memory)
    {
    }
    ~ReplyBuffer() { clear(); }
    ReplyBuffer(const ReplyBuffer&) = delete;
    ReplyBuffer& operator=(const ReplyBuffer&) = delete;

    // Returns false, and appends nothing, if the reply would exceed a limit.
    bool append(std::string_view chunk)
    {
        std::size_t size = text_.size() + chunk.size();
        bool isTooMuch = memory_.bytes + chunk.size() > ReplyMemory::maxBytes;
        if (size > ReplyMemory::maxReplyBytes || (isTooMuch && size > ReplyMemory::smallReplyBytes))
            return false;
        text_ += chunk;
        memory_.bytes += chunk.size();
        return true;
    }
    // Returns the reply, which no longer counts, and leaves the buffer empty.
    std::string take()
    {
        memory_.bytes -= text_.size();
        std::string text;
        text.swap(text_);
        return text;
    }
    void clear() { take(); }
    void swap(ReplyBuffer& other) { text_.swap(other.text_); }

private:
    ReplyMemory& memory_;
    std::string text_;
};

} // namespace ragwortwinch
