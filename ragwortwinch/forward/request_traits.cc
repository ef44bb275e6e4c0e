#include "ragwortwinch/forward/request_traits.h"

#include "ragwortwinch/base/digest.h"
#include "ragwortwinch/placement/prompt_parts.h"

namespace ragwortwinch {

namespace {

std::string promptText(const std::vector<PromptPart>& parts)
{
    std::vector<std::uint64_t> ids;
    for (const PromptPart& part : parts)
        ids.push_back(part.id);
    return partIdsText(ids);
}

} // namespace

RequestTraits::RequestTraits(const ForwardRequest& request)
    // The caller's key is secret and known to all VMs, so that nobody else can construct an equal hash.
    : whole_(keyedHash64(request.caller.key,
        {request.method, request.target, request.body, promptText(request.caller.promptParts)}))
    , all_{whole_}
{
    std::vector<TraitId> shared = sharedPartIds(request.caller.promptParts);
    all_.insert(all_.end(), shared.begin(), shared.end());
}

} // namespace ragwortwinch
