// All endpoints that this VM knows, by service.
//
//     directory.update(records, regions);
//     for (const UpstreamPointer& endpoint : directory.ofService("desk")) ...
//
// An endpoint that registers again as the same start keeps what was learnt of it. Belongs to the forwarding
// thread.
#pragma once

#include "ragwortwinch/forward/upstream_endpoint.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ragwortwinch {

// The work that VMs have at one endpoint.
struct EndpointWork {
    std::int64_t running = 0;
    // Prompt tokens that it has yet to read.
    LaneTokens promptTokens;
};

class EndpointDirectory {
public:
    EndpointDirectory() = default;
    ~EndpointDirectory();
    EndpointDirectory(const EndpointDirectory&) = delete;
    EndpointDirectory& operator=(const EndpointDirectory&) = delete;

    // `regions` names the region of each availability zone.
    void update(
        const std::vector<EndpointRecord>& records, const std::map<std::string, std::string>& regions);
    // The work of other VMs at each endpoint, by id.
    void setPeerLoad(const std::map<std::string, EndpointWork>& work);

    const std::vector<UpstreamPointer>& ofService(const std::string& service) const;
    // The service's endpoints with one of the roles that can run whole requests, or those that only read
    // prompts.
    std::vector<UpstreamPointer> runners(const std::string& service) const;
    std::vector<UpstreamPointer> prefillers(const std::string& service) const;
    std::vector<UpstreamPointer> all() const;

private:
    // By id and start.
    std::map<std::pair<std::string, std::int64_t>, UpstreamPointer> endpoints_;
    std::map<std::string, std::vector<UpstreamPointer>> byService_;
};

} // namespace ragwortwinch
