// All registered endpoints that this VM knows, by service.
//
//     directory.update(records, regions);
//     for (const UpstreamPointer& endpoint : directory.endpointsOf("desk")) ...
//
// An endpoint that registers again with the same incarnation keeps its learnt state. Confined to the
// forwarding thread.
#pragma once

#include "ragwortwinch/placement/upstream_endpoint.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
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
    // VMs with different seeds return to an endpoint at different moments after it has asked for a pause.
    explicit EndpointDirectory(std::uint32_t seed = 0)
        : random_(seed)
    {
    }
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
    // Id and incarnation.
    using Key = std::pair<std::string, std::int64_t>;
    // Limit on the endpoints that are remembered as leaving after their registration has ended.
    static constexpr std::size_t maxLeaving = 4096;

    UpstreamPointer makeEndpoint(const Key& key);
    void rememberLeaving(const Key& key);

    std::map<Key, UpstreamPointer> endpoints_;
    // Endpoints that said that they are leaving; they may be listed again by mistake.
    std::deque<Key> leaving_;
    std::minstd_rand random_;
    std::map<std::string, std::vector<UpstreamPointer>> byService_;
};

} // namespace ragwortwinch
