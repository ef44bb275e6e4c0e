// Ranks members for a key by rendezvous hashing, so that all who know the same members agree on who acts for
// the key.
//
//     if (rendezvousRank("usage", self, others) == 0) requestLease();
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

namespace ragwortwinch {

// Returns how many of `others` rank before `self`. `others` may contain `self`.
std::size_t rendezvousRank(
    std::string_view key, const std::string& self, const std::set<std::string>& others);

} // namespace ragwortwinch
