#include "ragwortwinch/placement/engine_chooser.h"

#include "ragwortwinch/placement/internal/rendezvous.h"

#include "ragwortwinch/placement/slot_reserve.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

// Returns the engine that all VMs prefer for prompts with this affinity; it likely has their shared parts
// cached.
const UpstreamEndpoint* findAffinityEngine(
    std::uint64_t affinity, const std::vector<UpstreamPointer>& engines)
{
    const UpstreamEndpoint* best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const UpstreamPointer& engine : engines) {
        if (!engine->isUsable() || engine->record.role != EngineRole::Prefill)
            continue;
        std::uint64_t weight = internal::rendezvousWeight(affinity, engine->record.id);
        if (!best || weight > bestWeight) {
            best = engine.get();
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace

double roundTripMillis(Distance distance)
{
    switch (distance) {
    case Distance::SameZone:
        return 1;
    case Distance::SameRegion:
        return 2;
    case Distance::OtherRegion:
        return 25;
    }
    return 0;
}

std::optional<EngineChoice> EngineChooser::choose(const PlacementQuery& query, const PromptQuery& prompt,
    const std::vector<UpstreamPointer>& engines, Instant now) const
{
    UpstreamPointer probeTarget;
    std::vector<UpstreamPointer> usable = usableCandidates(query, engines, now, probeTarget);
    if (probeTarget)
        usable = {probeTarget};
    const UpstreamEndpoint* affinityEngine
        = query.affinity ? findAffinityEngine(query.affinity, usable) : nullptr;
    std::vector<UpstreamPointer> prefillEngines;
    for (const UpstreamPointer& engine : usable) {
        if (engine->record.role == EngineRole::Prefill)
            prefillEngines.push_back(engine);
    }
    std::optional<EngineChoice> choice
        = best(query, prompt, prefillEngines, PromptPriority::OnTime, affinityEngine);
    if (choice && choice->timeToFirstToken <= prompt.onTimeLimit)
        return choice;
    std::vector<const UpstreamEndpoint*> reserved = enginesInReserve(engines, query.reservedSlots);
    std::vector<UpstreamPointer> unreserved = usable;
    std::erase_if(unreserved, [&](const UpstreamPointer& engine) {
        return std::find(reserved.begin(), reserved.end(), engine.get()) != reserved.end();
    });
    // Reserved engines are used only for prompts that no other engine can answer at all.
    for (const std::vector<UpstreamPointer>* candidates : {&unreserved, &usable}) {
        choice = best(query, prompt, *candidates, PromptPriority::OnTime, affinityEngine);
        if (choice && choice->timeToFirstToken <= prompt.onTimeLimit)
            return choice;
        choice = best(query, prompt, prefillEngines.empty() ? *candidates : prefillEngines,
            PromptPriority::Late, affinityEngine);
        if (choice && choice->timeToFirstToken <= prompt.lateLimit)
            return choice;
        if (unreserved.size() == usable.size())
            break;
    }
    return std::nullopt;
}

std::optional<EngineChoice> EngineChooser::best(const PlacementQuery& query, const PromptQuery& prompt,
    const std::vector<UpstreamPointer>& engines, PromptPriority priority,
    const UpstreamEndpoint* affinityEngine) const
{
    std::int64_t sharedTokens = 0;
    for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index)
        sharedTokens += prompt.parts[index].tokens;
    std::optional<EngineChoice> best;
    double bestScore = 0;
    for (const UpstreamPointer& engine : engines) {
        std::int64_t cached
            = engine.get() == affinityEngine ? sharedTokens : engine->promptCache.cachedTokens(prompt.parts);
        std::int64_t toPrefill = std::max<std::int64_t>(0, prompt.promptTokens - cached);
        double networkMillis = roundTripMillis(distanceOf(query, *engine));
        double score = engine->engineLoad.queueMillis(priority)
            + engine->engineLoad.tokenMillis(toPrefill) * prefillWeight + networkMillis * networkWeight;
        if (best && score >= bestScore)
            continue;
        bestScore = score;
        double kvTransfer = engine->record.role == EngineRole::Prefill ? prompt.kvTransferMillis : 0;
        double total = engine->engineLoad.prefillMillis(priority, toPrefill, networkMillis) + kvTransfer;
        best = EngineChoice{
            engine, toPrefill, networkMillis, priority, Millis(static_cast<std::int64_t>(total))};
    }
    return best;
}

} // namespace ragwortwinch
