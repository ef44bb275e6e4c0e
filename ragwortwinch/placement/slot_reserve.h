// How many slots of engines less urgent requests leave free for more urgent ones.
//
//     reserve.onRequest("chat-model", priority, now);           // each request of an engine service
//     reserve.onServed("chat-model", priority, taken, now);     // each run at an engine that has ended
//     query.reservedSlots = reserve.slots("chat-model", priority, now);
//     enginesInReserve(engines, query.reservedSlots);
//
// Designed for few urgent streams beside many prompts on engines that are nearly full (7 and 336 a second on
// 48 engines with 6 slots): a stream that finds no free slot waits for one longer than its target.
//
// The slots are at few engines, to which less urgent requests go only if they may use no other one. A reserve
// of a part of each engine's slots doesn't hold: VMs hear of each other's requests after some 200 ms, in
// which many prompts are sent, and all VMs choose the engines that seem to have room. The choosers only order
// engines by the reserve. Priority 0 is the most urgent. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/placement/upstream_endpoint.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ragwortwinch {

class SlotReserve {
public:
    virtual ~SlotReserve() = default;
    virtual void onRequest(const std::string& service, int priority, Instant now) = 0;
    // A request was served `taken` after it was sent to its engine.
    virtual void onServed(const std::string& service, int priority, Millis taken, Instant now) = 0;
    // Sets how many VMs send requests to the engines.
    virtual void setVmCount(std::size_t count) = 0;
    // Returns the slots, at all engines of the service together, that requests of this priority leave free.
    virtual double slots(const std::string& service, int priority, Instant now) const = 0;
    // Whether the service has had less urgent requests lately.
    virtual bool hasLessUrgent(const std::string& service, int priority, Instant now) const = 0;
};

// Baseline: requests of all priorities use all slots.
class NoSlotReserve final : public SlotReserve {
public:
    void onRequest(const std::string&, int, Instant) override { }
    void onServed(const std::string&, int, Millis, Instant) override { }
    void setVmCount(std::size_t) override { }
    double slots(const std::string&, int, Instant) const override { return 0; }
    bool hasLessUrgent(const std::string&, int, Instant) const override { return false; }
};

// Reserves the slots that the recent demand of more urgent requests uses on average (arrivals x time at an
// engine), and more for its fluctuation. A VM knows its own requests only and takes the others' demand to be
// the same on average.
class DemandSlotReserve final : public SlotReserve {
public:
    // Time constant of the averages. With 7 requests a second at 20 VMs, a VM sees some 4 in it.
    static constexpr Millis memory{10000};
    // Demand is forgotten when this long has passed without a request.
    static constexpr Millis maxSilence{20000};
    // For arrivals at random, demand exceeds its mean by twice its root 1 time in 40.
    static constexpr double fluctuation = 2;

    void onRequest(const std::string& service, int priority, Instant now) override;
    void onServed(const std::string& service, int priority, Millis taken, Instant now) override;
    void setVmCount(std::size_t count) override { vmCount_ = static_cast<double>(count ? count : 1); }
    double slots(const std::string& service, int priority, Instant now) const override;
    bool hasLessUrgent(const std::string& service, int priority, Instant now) const override;

private:
    struct Demand {
        // Requests, weighted by their age.
        double requests = 0;
        Instant lastRequest;
        // Mean time at an engine; zero before the first run has ended.
        double servedMillis = 0;
    };
    using Key = std::pair<std::string, int>;

    // Weight of one run in the mean time.
    static constexpr double sampleWeight = 0.1;

    std::map<Key, Demand> demands_;
    double vmCount_ = 1;
};

// Below this mean occupancy of the other engines a reserve is not in force: each stream finds a free slot
// then.
inline constexpr double minReserveOccupancy = 0.7;

// Returns the engines that less urgent requests leave to others: in each zone its part of `reservedSlots`, in
// whole engines, and at most half of them. All VMs choose the same ones. Prefill engines are left out, as
// urgent requests don't need them. Empty while the reserve is not in force.
std::vector<const UpstreamEndpoint*> enginesInReserve(
    const std::vector<UpstreamPointer>& engines, double reservedSlots);

} // namespace ragwortwinch
