// The settings of a `Node` process: its name and location, the addresses that it listens on, and the
// platform's URL. JSON with comments. For a gateway process see `GatewaySettings`.
//
//     Result<Settings> settings = parseSettings(text);
//
// A process doesn't start with invalid settings; the error lists every problem with its line and remedy.
#pragma once

#include "ragwortwinch/base/result.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/config/socket_address.h"

#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch {

struct Settings {
    std::string node;
    std::string availabilityZone;
    std::string region;
    SocketAddress entryAddress;
    SocketAddress adminAddress;
    SocketAddress peerAddress;
    std::string platformUrl;
    // Peers to contact before the platform's list of VMs is known.
    std::vector<SocketAddress> seedPeers;
    int requestThreads = 2;
    Millis leaseTtl{4000};
    // Subtracted from every lease's duration to allow for clocks that run at different rates; at most a
    // quarter of `leaseTtl`.
    Millis clockMargin{400};
    // Upper bound of the duration of one send to an endpoint or the platform.
    Millis sendBound{1500};
    Millis heartbeatInterval{500};
    Millis usageWindow{60000};
    // How long a draining process waits for open streams to end.
    Millis drainBound{60000};
    // Whether this node may hold a duty: a task of one node at a time, such as reporting usage.
    bool mayHoldDuties = true;
};

// Fails with `BadSettings`; unknown fields are errors.
Result<Settings> parseSettings(std::string_view text);

// Reads and parses the file at `path`.
Result<Settings> loadSettings(const std::string& path);

// Returns the whole content of a file, or an error of `kind` that names the path.
Result<std::string> readFile(const std::string& path, ErrorKind kind);

} // namespace ragwortwinch
