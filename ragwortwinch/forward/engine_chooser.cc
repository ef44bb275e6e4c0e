#include "ragwortwinch/forward/engine_chooser.h"

#include "ragwortwinch/forward/internal/rendezvous.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

// The engine that is expected to have read the shared parts for the other VMs as well.
const UpstreamEndpoint* homeEngine(std::uint64_t affinity, const std::vector<UpstreamPointer>& engines)
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
    UpstreamPointer dueTry;
    std::vector<UpstreamPointer> usable = usableCandidates(query, engines, now, dueTry);
    if (dueTry)
        usable = {dueTry};
    const UpstreamEndpoint* home = query.affinity ? homeEngine(query.affinity, usable) : nullptr;
    std::vector<UpstreamPointer> readers;
    for (const UpstreamPointer& engine : usable) {
        if (engine->record.role == EngineRole::Prefill)
            readers.push_back(engine);
    }
    std::optional<EngineChoice> choice = best(query, prompt, readers, PromptLane::OnTime, home);
    if (choice && choice->firstToken <= prompt.onTimeLimit)
        return choice;
    choice = best(query, prompt, usable, PromptLane::OnTime, home);
    if (choice && choice->firstToken <= prompt.onTimeLimit)
        return choice;
    choice = best(query, prompt, readers.empty() ? usable : readers, PromptLane::Late, home);
    if (choice && choice->firstToken <= prompt.lateLimit)
        return choice;
    return std::nullopt;
}

std::optional<EngineChoice> EngineChooser::best(const PlacementQuery& query, const PromptQuery& prompt,
    const std::vector<UpstreamPointer>& engines, PromptLane lane, const UpstreamEndpoint* home) const
{
    std::int64_t sharedTokens = 0;
    for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index)
        sharedTokens += prompt.parts[index].tokens;
    std::optional<EngineChoice> best;
    double bestScore = 0;
    for (const UpstreamPointer& engine : engines) {
        std::int64_t kept = engine.get() == home ? sharedTokens : engine->cache.keptTokens(prompt.parts);
        std::int64_t toRead = std::max<std::int64_t>(0, prompt.promptTokens - kept);
        double way = roundTripMillis(distanceOf(query, *engine));
        double score = engine->prompts.waitMillis(lane) + engine->prompts.tokenMillis(toRead) * readWeight
            + way * wayWeight;
        if (best && score >= bestScore)
            continue;
        bestScore = score;
        double handOver = engine->record.role == EngineRole::Prefill ? prompt.handOverMillis : 0;
        double total = engine->prompts.readMillis(lane, toRead, way) + handOver;
        best = EngineChoice{engine, toRead, way, lane, Millis(static_cast<std::int64_t>(total))};
    }
    return best;
}

} // namespace ragwortwinch
