// Simulates everything that the nodes act on (endpoints, the platform's ordering and usage interfaces, plain
// services, callers, operators) and records a description of each violated guarantee.
//
//     SimulatedEnvironment environment;
//     SendOutcome outcome = environment.receiveOrder(order);
//     environment.checkFinalState(versions, minCounted, maxCounted);
//     for (const std::string& violation : environment.violations()) ...
//
// Not thread-safe.
#pragma once

#include "ragwortwinch/config/config_head.h"
#include "ragwortwinch/config/config_publisher.h"
#include "ragwortwinch/dispatch/run_state.h"
#include "ragwortwinch/fleet/endpoint_order.h"
#include "ragwortwinch/store/store_op.h"
#include "ragwortwinch/usage/usage_figures.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ragwortwinch::protocol {

class SimulatedEnvironment {
public:
    // Names of the two endpoints: the first rejects orders with an old epoch, the second accepts them. Orders
    // to the platform go to a third receiver.
    static constexpr const char* checkingEndpoint = "checking";
    static constexpr const char* ignoringEndpoint = "ignoring";

    void onStoreWrite(const StoreOp& op, Instant now);
    SendOutcome receiveOrder(const EndpointOrder& order);
    SendOutcome receiveReport(WindowId window, const std::string& body, std::uint64_t epoch);
    void receiveBooking(const std::string& booking, const std::string& attempt);
    void onCallerAnswered(const std::string& attempt, RunState reportedState);
    void onOperatorAnswered(const std::string& changeId, PublishState reportedState);
    // Called when a node would serve keyed requests at `now` with this version of the configuration. A
    // version may be used for at most `maxStaleness` after its successor was accepted.
    void onServedKeyed(std::uint64_t version, Instant now, Millis maxStaleness);

    // Checks, after a phase without faults, that each node has the newest version, that no journaled order is
    // lost, that the answers to callers and operators were true, and that the number of reported requests
    // lies between `minCounted` and `maxCounted`.
    void checkFinalState(
        const std::vector<std::uint64_t>& versions, std::int64_t minCounted, std::int64_t maxCounted);
    void addViolation(const std::string& text) { violations_.push_back(text); }
    const std::vector<std::string>& violations() const { return violations_; }
    std::uint64_t newestVersion() const { return head_.version; }

private:
    struct Receiver {
        std::uint64_t greatestEpoch = 0;
        EndpointOrder latest;
    };

    std::map<std::string, Receiver> receivers_;
    std::map<std::uint64_t, std::string> journaled_;
    std::set<std::uint64_t> received_;
    std::map<WindowId, std::string> reports_;
    std::uint64_t reportEpoch_ = 0;
    std::map<std::string, int> runsOfBooking_;
    std::set<std::string> attemptsThatRan_;
    std::vector<std::string> answeredNotRun_;
    std::map<std::string, PublishState> publishAnswers_;
    ConfigHead head_;
    std::set<std::string> acceptedChanges_;
    std::map<std::uint64_t, Instant> acceptedAt_;
    std::vector<std::string> violations_;
};

} // namespace ragwortwinch::protocol
