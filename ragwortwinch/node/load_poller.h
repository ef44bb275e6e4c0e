// Polls every endpoint for its load report at a fixed interval.
//
//     poller.tick(now);     // on the control thread
//
// Stores the reports in the endpoints' state and then calls `onReport`, both on the client's thread.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/net/http_client.h"
#include "ragwortwinch/routing/endpoint_table.h"

#include <functional>
#include <map>
#include <string>

namespace ragwortwinch {

class LoadPoller {
public:
    // All references must outlive the poller, and the poller must outlive the calls that it starts.
    LoadPoller(HttpClient& client, EndpointTable& endpoints, Millis interval, std::function<void()> onReport);

    void tick(Instant now);

private:
    HttpClient& client_;
    EndpointTable& endpoints_;
    Millis interval_;
    std::function<void()> onReport_;
    Instant nextPoll_;
};

} // namespace ragwortwinch
