// What a request may have in common with others that crash endpoints: the parts of its prompt that prompts
// may share, and the request as a whole.
//
//     RequestTraits traits(request);
//     traits.whole();     // the same on every VM for each try of the same caller
//     traits.all();       // with the shared parts of the prompt
//
// Two requests are the same as a whole if method, target, key of the caller, body and parts of the prompt
// are. Ids, time limits and other fields, which differ from try to try, don't count. Immutable.
#pragma once

#include "ragwortwinch/forward/forward_request.h"
#include "ragwortwinch/quarantine/endpoint_crash.h"

#include <vector>

namespace ragwortwinch {

class RequestTraits {
public:
    // No traits.
    RequestTraits() = default;
    explicit RequestTraits(const ForwardRequest& request);

    TraitId whole() const { return whole_; }
    // The whole request first.
    const std::vector<TraitId>& all() const { return all_; }

private:
    TraitId whole_ = 0;
    std::vector<TraitId> all_;
};

} // namespace ragwortwinch
