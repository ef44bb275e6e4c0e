#include "ragwortwinch/base/rendezvous_rank.h"

#include "ragwortwinch/base/digest.h"

#include <fmt/format.h>

namespace ragwortwinch {

std::size_t rendezvousRank(std::string_view key, const std::string& self, const std::set<std::string>& others)
{
    std::string ownHash = sha256Hex(fmt::format("{}/{}", key, self));
    std::size_t rank = 0;
    for (const std::string& other : others) {
        if (sha256Hex(fmt::format("{}/{}", key, other)) > ownHash)
            ++rank;
    }
    return rank;
}

} // namespace ragwortwinch
