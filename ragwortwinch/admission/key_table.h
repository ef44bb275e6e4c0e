// Maps a caller's key to its team. Stores only hashes of keys.
//
//     KeyTable table(rules);
//     if (const TeamRule* team = table.find(key)) ...
//
// Immutable, hence thread-safe. Returned pointers point into `rules`, which the table keeps alive.
#pragma once

#include "ragwortwinch/config/rules.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ragwortwinch {

class KeyTable {
public:
    explicit KeyTable(std::shared_ptr<const Rules> rules);

    // Returns the key's team, or null.
    const TeamRule* find(std::string_view key) const;
    // The same for a key's SHA-256 in hexadecimal.
    const TeamRule* findHash(std::string_view hash) const;

private:
    std::shared_ptr<const Rules> rules_;
    std::unordered_map<std::string, const TeamRule*> teams_;
};

} // namespace ragwortwinch
