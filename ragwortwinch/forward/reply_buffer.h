// Holds a whole reply while it is read, within a limit on all whole replies that a VM reads or writes.
//
//     ReplyMemory memory;
//     ReplyBuffer body(memory);
//     if (!body.append(chunk)) end the attempt;
//     send(body.take());
//
// Confined to the forwarding thread.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace ragwortwinch {

// What the replies of a VM hold together.
struct ReplyMemory {
    // Limit on one reply.
    static constexpr std::size_t maxReplyBytes = 16 * 1024 * 1024;
    // Limit on all replies together, by capacity. Beyond it, only those of at most `smallReplyBytes` are read
    // on.
    static constexpr std::size_t maxBytes = 32 * 1024 * 1024;
    static constexpr std::size_t smallReplyBytes = 256 * 1024;

    // Replaces `maxBytes` on machines with little memory. Small replies may exceed it by half.
    std::size_t limit = maxBytes;
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
        if (size > ReplyMemory::maxReplyBytes)
            return false;
        if (size > text_.capacity() && !grow(size))
            return false;
        text_ += chunk;
        return true;
    }
    // Returns the reply, which no longer counts, and leaves the buffer empty.
    std::string take()
    {
        memory_.bytes -= capacity_;
        capacity_ = 0;
        std::string text;
        text.swap(text_);
        return text;
    }
    void clear() { take(); }
    void swap(ReplyBuffer& other)
    {
        text_.swap(other.text_);
        std::swap(capacity_, other.capacity_);
    }

private:
    // Makes room for `size` bytes or half as much again as before. Returns false if there is no memory.
    bool grow(std::size_t size)
    {
        std::size_t capacity
            = std::max(size, std::min(capacity_ / 2 * 3, std::size_t(ReplyMemory::maxReplyBytes)));
        std::size_t limit = memory_.limit + (size <= ReplyMemory::smallReplyBytes ? memory_.limit / 2 : 0);
        // Growing by less would copy the reply too often.
        if (memory_.bytes + capacity - capacity_ > limit)
            capacity = std::max(size, std::min(capacity_ / 8 * 9, std::size_t(ReplyMemory::maxReplyBytes)));
        if (memory_.bytes + capacity - capacity_ > limit)
            return false;
        memory_.bytes += capacity - capacity_;
        capacity_ = capacity;
        // std::string::reserve would allocate at least twice the former capacity.
        std::string larger;
        larger.reserve(capacity);
        larger += text_;
        text_.swap(larger);
        return true;
    }

    ReplyMemory& memory_;
    std::string text_;
    // Part of `ReplyMemory::bytes`.
    std::size_t capacity_ = 0;
};

} // namespace ragwortwinch
