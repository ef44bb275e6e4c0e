// The settings of a gateway process, which forwards requests unchanged to endpoints that register themselves.
// JSON with comments; `"mode": "gateway"` distinguishes them from `Settings`.
//
//     if (isGatewaySettings(text)) Result<GatewaySettings> settings = parseGatewaySettings(text);
//
// The error lists every missing or invalid field with its line and remedy. Unknown fields are logged and
// ignored.
#pragma once

#include "ragwortwinch/base/result.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/config/socket_address.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch {

struct GatewaySettings {
    std::string node;
    std::string availabilityZone;
    std::string region;
    SocketAddress entryAddress;
    // Answers whether the process is ready for requests.
    SocketAddress readinessAddress;
    // Answers with the entry addresses for callers.
    SocketAddress directoryAddress;
    SocketAddress adminAddress;
    SocketAddress peerAddress;
    std::string storeUrl;
    // Base URL of the calls made for a duty, a task of one node at a time such as reporting usage.
    std::string dutyUrl;
    std::vector<SocketAddress> seedPeers;
    // The region of each availability zone.
    std::map<std::string, std::string> regions;

    Millis heartbeatInterval{200};
    Millis leaseTtl{2000};
    Millis clockMargin{200};
    // Upper bound of the duration of one call made for a duty.
    Millis sendBound{700};
    Millis usageWindow{5000};
    // How long after its end a usage window is closed; usage that arrives until then counts towards it.
    Millis usageGrace{2000};
    // How long callers may cache an answer of the address directory.
    Millis answerValidity{2000};
    // Longest time from SIGTERM to the end of the process.
    Millis stopBound{7000};
    // Retry budget of all VMs together: within `retryWindow`, this fraction of the requests plus `retrySlack`
    // requests.
    double retryRatio = 0.2;
    Millis retryWindow{10000};
    double retrySlack = 50;
    // Within `quotaWindow`, a team's requests may exceed what its limit allows by the fraction
    // `quotaOvershoot` and by `quotaSlack`, over all VMs together.
    Millis quotaWindow{8000};
    double quotaOvershoot = 0;
    double quotaSlack = 0;
    // From 13 VMs on, VMs read the store less often and tell those of their zone what has changed.
    bool sharesStoreReads = false;
    // What this VM has: bandwidth of its link in megabits a second, and processor time in cores of the speed
    // that is common to all VMs. Callers are shared out by them; 0 if unknown.
    double linkMbps = 0;
    double processorCores = 0;
    // Memory of the VM in megabytes, and how many descriptors the process may open; 0 if unknown.
    double memoryMegabytes = 0;
    double fileDescriptors = 0;
};

// Returns whether `text` has `"mode": "gateway"`; false also when it is not valid JSON.
bool isGatewaySettings(std::string_view text);

Result<GatewaySettings> parseGatewaySettings(std::string_view text);

} // namespace ragwortwinch
