// A small deployment: the platform, a few machines of one zone, and workers that register in the store.
#pragma once

#include "review/stand_in/machine.h"
#include "review/stand_in/platform.h"

#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review {

class Deployment {
public:
    // Answers one request of a worker, named by its id; returns whether the connection is kept.
    using Behaviour = std::function<bool(Socket&, const HttpMessage&, const std::string& id)>;

    Deployment(
        const std::string& daemon, const std::string& folder, const std::string& recordPath, int machineCount)
        : record(recordPath)
        , platform(record)
    {
        record.add("trouble: %s", hasTrouble() ? "yes" : "no");
        std::vector<std::uint16_t> peerPorts;
        for (int number = 0; number < machineCount; ++number)
            peerPorts.push_back(freePort());
        for (int number = 0; number < machineCount; ++number) {
            MachinePlan plan;
            plan.name = "front-" + std::to_string(number + 1);
            plan.folder = folder;
            plan.daemon = daemon;
            plan.storePort = platform.storePort();
            plan.dutyPort = platform.dutyPort();
            plan.seedPorts = peerPorts;
            plan.seedPorts.resize(std::min<std::size_t>(3, peerPorts.size()));
            plan.peerPort = peerPorts[static_cast<std::size_t>(number)];
            machines.push_back(std::make_unique<Machine>(record, plan));
        }
    }

    static bool hasTrouble()
    {
        const char* value = std::getenv("TROUBLE");
        return value == nullptr || std::string(value) != "0";
    }

    void addWorker(const std::string& service, int slots, Behaviour behaviour)
    {
        std::string id = "i-" + std::to_string(workers.size() + 1);
        workers.push_back(std::make_unique<Server>(
            [behaviour = std::move(behaviour), id](
                Socket& socket, const HttpMessage& request) { return behaviour(socket, request, id); }));
        registerWorker(id, service, slots, workers.back()->port());
    }
    void registerWorker(const std::string& id, const std::string& service, int slots, std::uint16_t port)
    {
        platform.put("servers/" + id,
            Json({{"service", service}, {"address", "127.0.0.1:" + std::to_string(port)}, {"zone", "zone-a"},
                     {"version", "v1"}, {"slots", slots}, {"state", "ready"}, {"cold_remaining_ms", 0},
                     {"sequence", 1}, {"born", 1790000000000}})
                .dump());
    }

    // Starts the machines; returns false if one doesn't get ready.
    bool start()
    {
        for (const std::unique_ptr<Machine>& machine : machines)
            machine->start();
        for (const std::unique_ptr<Machine>& machine : machines) {
            if (machine->waitUntilReady(15000))
                continue;
            record.add("machine %s doesn't get ready", machine->name().c_str());
            return false;
        }
        return true;
    }
    void stop()
    {
        for (const std::unique_ptr<Machine>& machine : machines)
            machine->kill();
        for (const std::unique_ptr<Server>& worker : workers)
            worker->stop();
        platform.stop();
    }

    Record record;
    Platform platform;
    std::vector<std::unique_ptr<Server>> workers;
    std::vector<std::unique_ptr<Machine>> machines;
};

} // namespace review
