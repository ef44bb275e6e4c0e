// Numbers the store operations of one node, so that each answer finds the protocol that asked.
#pragma once

#include <cstdint>

namespace ragwortwinch {

// Not thread-safe: belongs to the control thread.
class OpIds {
public:
    std::uint64_t next() { return ++last_; }

private:
    std::uint64_t last_ = 0;
};

} // namespace ragwortwinch
