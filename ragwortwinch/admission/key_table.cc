#include "ragwortwinch/admission/key_table.h"

#include "ragwortwinch/base/digest.h"

namespace ragwortwinch {

KeyTable::KeyTable(std::shared_ptr<const Rules> rules)
    : rules_(std::move(rules))
{
    for (const TeamRule& team : rules_->teams) {
        for (const std::string& hash : team.keyHashes)
            teams_.emplace(hash, &team);
    }
}

const TeamRule* KeyTable::find(std::string_view key) const { return findHash(sha256Hex(key)); }

const TeamRule* KeyTable::findHash(std::string_view hash) const
{
    auto found = teams_.find(std::string(hash));
    if (found == teams_.end() || !constantTimeEquals(found->first, hash))
        return nullptr;
    return found->second;
}

} // namespace ragwortwinch
