// The settings of one process: who it is, where it listens, where the platform is. JSON with comments.
//
//     Result<Settings> settings = parseSettings(text);
//
// Nothing starts with settings that have a problem; the error lists all of them with line and remedy.
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
    // Peers to ask before the platform's list is known.
    std::vector<SocketAddress> seedPeers;
    int requestThreads = 2;
    Millis leaseTtl{4000};
    // Deducted from every lease, for clock rates that differ.
    Millis clockMargin{400};
    // The longest that one send to an endpoint or the platform may take.
    Millis sendBound{1500};
    Millis heartbeatInterval{500};
    Millis usageWindow{60000};
    // How long a drained process waits for its streams.
    Millis drainBound{60000};
    // Duties this node may hold; every node may hold any by default.
    bool mayHoldDuties = true;
};

Result<Settings> parseSettings(std::string_view text);

// Reads and parses the file at `path`.
Result<Settings> loadSettings(const std::string& path);

// Returns the whole content of a file, or an error of `kind` that names it.
Result<std::string> readFile(const std::string& path, ErrorKind kind);

} // namespace ragwortwinch
