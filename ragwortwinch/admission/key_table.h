// Finds the team that a key belongs to. Holds hashes only.
//
//     KeyTable table(rules);
//     if (const TeamRule* team = table.find(key)) ...
//
// Immutable, so safe to share between threads; points into `rules`, which it keeps alive.
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
    // The same for the SHA-256 of a key.
    const TeamRule* findHash(std::string_view hash) const;

private:
    std::shared_ptr<const Rules> rules_;
    std::unordered_map<std::string, const TeamRule*> teams_;
};

} // namespace ragwortwinch
