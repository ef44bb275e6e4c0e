// Assigns ids to the store operations of one node, so that each answer is matched to its operation.
#pragma once

#include <cstdint>

namespace ragwortwinch {

// Not thread-safe: used by the node's control thread only. Ids start at 1; 0 stands for no operation.
class OpIds {
public:
    std::uint64_t next() { return ++last_; }

private:
    std::uint64_t last_ = 0;
};

} // namespace ragwortwinch
