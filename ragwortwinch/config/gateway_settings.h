// The settings of a process that forwards requests as they are, in front of endpoints that register
// themselves. JSON with comments; `"mode": "gateway"` tells it from the settings of `Settings`.
//
//     if (isGatewaySettings(text)) Result<GatewaySettings> settings = parseGatewaySettings(text);
//
// Missing and wrong fields are all named with their remedy. Unknown fields are logged and ignored.
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
    SocketAddress readinessAddress;
    SocketAddress directoryAddress;
    SocketAddress adminAddress;
    SocketAddress peerAddress;
    std::string storeUrl;
    std::string dutyUrl;
    std::vector<SocketAddress> seedPeers;
    // The region of each availability zone.
    std::map<std::string, std::string> regions;

    Millis heartbeatInterval{200};
    Millis leaseTtl{2000};
    Millis clockMargin{200};
    // The longest that one call under a duty may take.
    Millis sendBound{700};
    Millis usageWindow{5000};
    // How long after a window's end its figures are closed.
    Millis usageGrace{2000};
    // How long callers may keep an address answer.
    Millis answerValidity{2000};
    // From SIGTERM to the end of the process at the latest.
    Millis stopBound{7000};
    // What all VMs together may send once more, as a part of the requests and besides.
    double retryRatio = 0.2;
    Millis retryWindow{10000};
    double retrySlack = 50;
};

// True when the text asks for this mode; false also when it is no JSON.
bool isGatewaySettings(std::string_view text);

Result<GatewaySettings> parseGatewaySettings(std::string_view text);

} // namespace ragwortwinch
