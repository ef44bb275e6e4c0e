#include "testing/protocol/protocol_run.h"

#include "testing/protocol/virtual_node.h"

#include <fmt/format.h>
#include <memory>
#include <stdexcept>

namespace ragwortwinch::protocol {

namespace {

constexpr int nodeCount = 3;
constexpr Millis tickInterval{50};
constexpr Millis faultPhase{20000};
// Long enough after the last fault for leases, quiet periods and usage windows to complete.
constexpr Millis recoveryPhase{30000};

class Run {
public:
    explicit Run(std::uint64_t seed)
        : random_(seed)
        , store_(time_, random_)
    {
        store_.setObserver(
            [this](const StoreOp& op, std::uint64_t) { environment_.onStoreWrite(op, time_.now()); });
        for (int index = 0; index < nodeCount; ++index)
            nodes_.push_back(std::make_unique<VirtualNode>(
                fmt::format("n{}", index), time_, store_, environment_, random_));
    }

    std::vector<std::string> execute()
    {
        Instant end = time_.now() + faultPhase;
        areFaultsEnabled_ = true;
        scheduleTick();
        scheduleAction();
        runGuarded(end);
        endFaults();
        runGuarded(time_.now() + recoveryPhase);
        checkAfterRecovery();
        return environment_.violations();
    }

private:
    void runGuarded(Instant end)
    {
        try {
            time_.runUntil(end);
        } catch (const std::logic_error& broken) {
            environment_.addViolation(broken.what());
        }
    }

    void scheduleTick()
    {
        time_.after(tickInterval, [this] {
            for (const std::unique_ptr<VirtualNode>& node : nodes_)
                node->tick();
            checkLeaseHolders();
            exchangeHeartbeats();
            checkServing();
            scheduleTick();
        });
    }

    void scheduleAction()
    {
        if (!areFaultsEnabled_)
            return;
        time_.after(delay(10, 150), [this] {
            if (areFaultsEnabled_)
                performRandomAction();
            scheduleAction();
        });
    }

    VirtualNode& randomNode()
    {
        return *nodes_[std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_)];
    }
    Millis delay(std::int64_t least, std::int64_t most)
    {
        return Millis(std::uniform_int_distribution<std::int64_t>(least, most)(random_));
    }

    void performRandomAction()
    {
        int choice = std::uniform_int_distribution<int>(0, 99)(random_);
        if (choice < 30)
            order();
        else if (choice < 50)
            countRequest();
        else if (choice < 68)
            book();
        else if (choice < 80)
            publish();
        else if (choice < 88)
            randomNode().pause(delay(100, 4000));
        else if (choice < 92)
            randomNode().crash(delay(50, 2000));
        else if (choice < 97)
            partitionNode();
        else
            startOutage();
    }

    void order()
    {
        EndpointOrder order;
        int target = std::uniform_int_distribution<int>(0, 2)(random_);
        order.endpoint = target == 0 ? SimulatedEnvironment::checkingEndpoint
            : target == 1            ? SimulatedEnvironment::ignoringEndpoint
                                     : "platform";
        order.kind = target == 2 ? OrderKind::Provision : OrderKind::SetRole;
        order.argument = std::to_string(++lastArgument_);
        for (const std::unique_ptr<VirtualNode>& node : nodes_)
            node->submitOrder(order);
    }

    void countRequest()
    {
        VirtualNode& node = randomNode();
        if (!node.isRunning())
            return;
        node.count(1);
        ++counted_;
    }

    void book()
    {
        std::string booking = fmt::format("b{}", ++lastBooking_);
        randomNode().book(booking, fmt::format("a{}", ++lastAttempt_));
        int repeats = std::uniform_int_distribution<int>(0, 3)(random_);
        for (int index = 0; index < repeats; ++index)
            time_.after(delay(0, 3000),
                [this, booking] { randomNode().book(booking, fmt::format("a{}", ++lastAttempt_)); });
    }

    void publish()
    {
        randomNode().publish(fmt::format("c{}", ++lastChange_));
        if (std::uniform_int_distribution<int>(0, 2)(random_) == 0)
            randomNode().publish(fmt::format("c{}", ++lastChange_));
    }

    void partitionNode()
    {
        VirtualNode& node = randomNode();
        node.setPartitioned(true);
        time_.after(delay(100, 4000), [&node] { node.setPartitioned(false); });
    }

    void startOutage()
    {
        store_.setOutage(true);
        time_.after(delay(100, 5000), [this] { store_.setOutage(false); });
    }

    // Sends heartbeats between all nodes with random delay and, during faults, random loss.
    void exchangeHeartbeats()
    {
        for (const std::unique_ptr<VirtualNode>& from : nodes_) {
            for (const std::unique_ptr<VirtualNode>& to : nodes_) {
                bool isLost = areFaultsEnabled_ && std::uniform_int_distribution<int>(0, 9)(random_) == 0;
                if (from == to || isLost || !from->isRunning() || !to->isRunning())
                    continue;
                // `from` echoes a heartbeat that `to` sent 1 to 30 ms ago.
                PeerConfigStatus outgoing = from->peerStatus(time_.now() - delay(1, 30));
                time_.after(delay(1, 30), [&to = *to, outgoing] { to.receivePeerStatus(outgoing); });
            }
        }
    }

    void checkLeaseHolders()
    {
        int fleet = 0;
        int usage = 0;
        for (const std::unique_ptr<VirtualNode>& node : nodes_) {
            fleet += node->holdsFleetLease() ? 1 : 0;
            usage += node->holdsUsageLease() ? 1 : 0;
        }
        if (fleet > 1 || usage > 1)
            environment_.addViolation("two processes hold the same lease");
    }

    void checkServing()
    {
        for (const std::unique_ptr<VirtualNode>& node : nodes_) {
            std::set<std::string> others;
            for (const std::unique_ptr<VirtualNode>& other : nodes_) {
                if (other != node)
                    others.insert(other->name());
            }
            node->checkServing(others);
        }
    }

    void endFaults()
    {
        areFaultsEnabled_ = false;
        store_.setOutage(false);
        store_.setFaults({0, 0, 0, 0});
        for (const std::unique_ptr<VirtualNode>& node : nodes_)
            node->setPartitioned(false);
    }

    void checkAfterRecovery()
    {
        std::vector<std::uint64_t> versions;
        std::int64_t lost = 0;
        for (const std::unique_ptr<VirtualNode>& node : nodes_) {
            versions.push_back(node->version());
            lost += node->maxLostRequests();
        }
        environment_.checkFinalState(versions, counted_ - lost, counted_);
    }

    VirtualTime time_;
    std::mt19937_64 random_;
    VirtualStore store_;
    SimulatedEnvironment environment_;
    std::vector<std::unique_ptr<VirtualNode>> nodes_;
    bool areFaultsEnabled_ = false;
    std::int64_t counted_ = 0;
    int lastArgument_ = 0;
    int lastBooking_ = 0;
    int lastAttempt_ = 0;
    int lastChange_ = 0;
};

} // namespace

std::vector<std::string> runProtocols(std::uint64_t seed) { return Run(seed).execute(); }

} // namespace ragwortwinch::protocol
