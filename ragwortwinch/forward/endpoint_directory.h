// All registered endpoints that this VM knows, by service.
//
//     directory.update(records, regions);
//     for (const UpstreamPointer& endpoint : directory.endpointsOf("desk")) ...
//
// An endpoint that registers again with the same incarnation keeps its learnt state. Confined to the
// forwarding thread.
#pragma once

#include "ragwortwinch/forward/upstream_endpoint.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ragwortwinch {

// Load that one or more VMs put on an endpoint.
struct EndpointWork {
    std::int64_t running = 0;
    // Prompt tokens that it has yet to prefill.
    QueuedTokens promptTokens;
};

class EndpointDirectory {
public:
    EndpointDirectory() = default;
    ~EndpointDirectory();
    EndpointDirectory(const EndpointDirectory&) = delete;
    EndpointDirectory& operator=(const EndpointDirectory&) = delete;

    // Replaces all endpoints. `regions` maps each availability zone to its region.
    void update(
        const std::vector<EndpointRecord>& records, const std::map<std::string, std::string>& regions);
    // Sets the load from other VMs, by endpoint id.
    void setPeerLoad(const std::map<std::string, EndpointWork>& work);

    // Applies what a peer has read in an endpoint's replies.
    void onPeerLimit(
        const std::string& id, std::int64_t incarnation, const RequestLimitObservation& observation);
    // Has the parts of all request limits computed again.
    void requestLimitParts();

    const std::vector<UpstreamPointer>& endpointsOf(const std::string& service) const;
    // The service's endpoints that can run whole requests.
    std::vector<UpstreamPointer> servingEndpoints(const std::string& service) const;
    // The service's endpoints that only prefill prompts.
    std::vector<UpstreamPointer> prefillEndpoints(const std::string& service) const;
    std::vector<UpstreamPointer> all() const;

private:
    // By id and incarnation.
    std::map<std::pair<std::string, std::int64_t>, UpstreamPointer> endpoints_;
    std::map<std::string, std::vector<UpstreamPointer>> byService_;
};

} // namespace ragwortwinch
