// Slots that prompts leave free for urgent streams, played in virtual time.
#include "ragwortwinch/placement/slot_reserve.h"

#include "ragwortwinch/placement/endpoint_chooser.h"
#include "ragwortwinch/placement/engine_chooser.h"

#include <algorithm>
#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <random>

namespace ragwortwinch {
namespace {

constexpr int chatPriority = 0;
constexpr int promptPriority = 3;
constexpr const char* service = "model";

Instant at(int millis) { return Instant(Millis(1000000 + millis)); }

UpstreamPointer engine(const std::string& id, std::int64_t slots)
{
    UpstreamPointer value = std::make_shared<UpstreamEndpoint>();
    value->record.id = id;
    value->record.availabilityZone = "z";
    value->record.slots = slots;
    value->record.role = EngineRole::Decode;
    value->region = "r";
    return value;
}

struct Load {
    double promptsPerSecond = 0;
    double promptMillis = 0;
    double chatsPerSecond = 0;
    double chatMillis = 0;
};

struct Result {
    int chats = 0;
    int chatsOnTime = 0;
    int prompts = 0;
    int promptsOnTime = 0;
    // The engines that were chosen, in order.
    std::vector<std::size_t> choices;

    double chatShare() const { return chats ? static_cast<double>(chatsOnTime) / chats : 0; }
    double promptShare() const { return prompts ? static_cast<double>(promptsOnTime) / prompts : 0; }
};

// Plays half a minute at 48 engines with 6 slots and 6 VMs, after 10 s that don't count. A VM hears of the
// others' running requests with a delay of 200 ms. An engine runs what it has slots for; other requests wait,
// chats first, and are on time if they wait for less than 130 ms (chats, target 150 ms) or 400 ms (prompts,
// target 500 ms). Prompts that would wait longer are dropped when a slot is free.
class Simulation {
public:
    static constexpr std::size_t engineCount = 48;
    static constexpr std::int64_t slotCount = 6;

    Simulation(const Load& load, bool hasReserve, unsigned seed)
        : load_(load)
        , random_(seed)
        , engines_(engineCount)
    {
        for (Vm& vm : vms_) {
            if (hasReserve)
                vm.reserve = std::make_unique<DemandSlotReserve>();
            else
                vm.reserve = std::make_unique<NoSlotReserve>();
            vm.reserve->setVmCount(vms_.size());
            for (std::size_t index = 0; index < engineCount; ++index)
                vm.endpoints.push_back(engine("e" + std::to_string(index), slotCount));
        }
    }

    Result play()
    {
        std::exponential_distribution<double> chatGap(load_.chatsPerSecond / 1000);
        std::exponential_distribution<double> promptGap(load_.promptsPerSecond / 1000);
        double nextChat = load_.chatsPerSecond > 0 ? chatGap(random_) : endMillis;
        double nextPrompt = promptGap(random_);
        for (now_ = 0; now_ < endMillis; ++now_) {
            for (Engine& engine : engines_)
                endRuns(engine);
            if (now_ % 100 == 0)
                exchangeLoads();
            for (; nextChat <= now_; nextChat += chatGap(random_))
                arrive(true);
            for (; nextPrompt <= now_; nextPrompt += promptGap(random_))
                arrive(false);
        }
        return result_;
    }

private:
    static constexpr int warmUpMillis = 10000;
    static constexpr int endMillis = 40000;

    struct Request {
        bool isChat = false;
        int sentAt = 0;
        double endsAt = 0;
        std::size_t vm = 0;
    };
    struct Engine {
        std::vector<Request> running;
        std::deque<Request> waitingChats;
        std::deque<Request> waitingPrompts;
    };
    struct Vm {
        std::unique_ptr<SlotReserve> reserve;
        std::vector<UpstreamPointer> endpoints;
        std::vector<std::int64_t> reported = std::vector<std::int64_t>(engineCount);
    };

    void arrive(bool isChat)
    {
        std::size_t vmIndex = random_() % vms_.size();
        Vm& vm = vms_[vmIndex];
        int priority = isChat ? chatPriority : promptPriority;
        vm.reserve->onRequest(service, priority, at(now_));
        PlacementQuery query;
        query.availabilityZone = "z";
        query.region = "r";
        query.searchStart = random_();
        query.spillOccupancy = longReplySpillOccupancy;
        query.reservedSlots = vm.reserve->slots(service, priority, at(now_));
        if (vm.reserve->hasLessUrgent(service, priority, at(now_)))
            query.slotsLeftByOthers = vm.reserve->slots(service, priority + 1, at(now_));
        UpstreamPointer chosen = AffinityChooser().choose(query, vm.endpoints, at(now_));
        std::size_t index = static_cast<std::size_t>(
            std::find(vm.endpoints.begin(), vm.endpoints.end(), chosen) - vm.endpoints.begin());
        result_.choices.push_back(index);
        ++chosen->running;
        Engine& engine = engines_[index];
        (isChat ? engine.waitingChats : engine.waitingPrompts).push_back({isChat, now_, 0, vmIndex});
        startRuns(engine, index);
    }

    void startRuns(Engine& engine, std::size_t index)
    {
        while (engine.running.size() < static_cast<std::size_t>(slotCount)) {
            std::deque<Request>& queue
                = engine.waitingChats.empty() ? engine.waitingPrompts : engine.waitingChats;
            if (queue.empty())
                return;
            Request request = queue.front();
            queue.pop_front();
            int waited = now_ - request.sentAt;
            bool isOnTime = waited < (request.isChat ? 130 : 400);
            if (request.sentAt >= warmUpMillis) {
                ++(request.isChat ? result_.chats : result_.prompts);
                (request.isChat ? result_.chatsOnTime : result_.promptsOnTime) += isOnTime ? 1 : 0;
            }
            if (!request.isChat && !isOnTime) {
                --vms_[request.vm].endpoints[index]->running;
                continue;
            }
            double mean = request.isChat ? load_.chatMillis : load_.promptMillis;
            request.endsAt = now_ + std::uniform_real_distribution<double>(0.5 * mean, 1.5 * mean)(random_);
            engine.running.push_back(request);
        }
    }

    void endRuns(Engine& engine)
    {
        std::size_t index = static_cast<std::size_t>(&engine - engines_.data());
        std::erase_if(engine.running, [&](const Request& request) {
            if (request.endsAt > now_)
                return false;
            Vm& vm = vms_[request.vm];
            --vm.endpoints[index]->running;
            vm.reserve->onServed(service, request.isChat ? chatPriority : promptPriority,
                Millis(now_ - request.sentAt), at(now_));
            return true;
        });
        startRuns(engine, index);
    }

    void exchangeLoads()
    {
        for (std::size_t index = 0; index < engineCount; ++index) {
            std::int64_t sum = 0;
            for (const Vm& vm : vms_)
                sum += vm.reported[index];
            for (Vm& vm : vms_) {
                vm.endpoints[index]->runningOnPeers = sum - vm.reported[index];
                vm.reported[index] = vm.endpoints[index]->running;
            }
        }
    }

    Load load_;
    std::mt19937 random_;
    int now_ = 0;
    std::vector<Engine> engines_;
    std::array<Vm, 6> vms_;
    Result result_;
};

Result play(const Load& load, bool hasReserve)
{
    Result sum;
    for (unsigned seed = 1; seed <= 3; ++seed) {
        Result result = Simulation(load, hasReserve, seed).play();
        sum.chats += result.chats;
        sum.chatsOnTime += result.chatsOnTime;
        sum.prompts += result.prompts;
        sum.promptsOnTime += result.promptsOnTime;
        sum.choices.insert(sum.choices.end(), result.choices.begin(), result.choices.end());
    }
    return sum;
}

// Guards against chats that wait for a slot behind prompts, as on a day of heavy load.
TEST_CASE("chats are on time beside more prompts than the engines have slots for")
{
    // 336 prompts a second of 850 ms use 286 of 288 slots.
    Load load{336, 850, 7.4, 1000};
    Result without = play(load, false);
    Result with = play(load, true);
    MESSAGE("chats on time: " << without.chatShare() << " without a reserve, " << with.chatShare()
                              << " with it; prompts " << without.promptShare() << ", " << with.promptShare());
    CHECK(with.chatShare() >= 0.9);
    CHECK(without.chatShare() < 0.9);
    // A reserve may cost half of the slots at worst; callers of prompts starve below a quarter.
    CHECK(with.promptShare() > without.promptShare() - 0.1);
}

// Guards against a change of choices on deployments that have room, or no urgent route.
TEST_CASE(
    "with room at the engines or without urgent requests, the choices are the same as without a reserve")
{
    for (const Load& load : {Load{50, 850, 7.4, 1000}, Load{336, 850, 0, 0}}) {
        Result without = Simulation(load, false, 1).play();
        Result with = Simulation(load, true, 1).play();
        CHECK(without.choices == with.choices);
    }
}

TEST_CASE("the reserve follows the demand of more urgent requests and is forgotten")
{
    DemandSlotReserve reserve;
    reserve.setVmCount(4);
    CHECK(reserve.slots(service, promptPriority, at(0)) == 0);
    for (int millis = 0; millis < 40000; millis += 500)
        reserve.onRequest(service, chatPriority, at(millis));
    // Their time at an engine isn't known yet.
    CHECK(reserve.slots(service, promptPriority, at(40000)) == 0);
    reserve.onServed(service, chatPriority, Millis(1000), at(40000));
    // 2 requests a second at each of 4 VMs, for 1 s: 8 slots, and twice the root.
    CHECK(reserve.slots(service, promptPriority, at(40000)) == doctest::Approx(13.7).epsilon(0.1));
    CHECK(reserve.slots(service, chatPriority, at(40000)) == 0);
    CHECK(reserve.slots("other", promptPriority, at(40000)) == 0);
    CHECK(reserve.slots(service, promptPriority, at(60000)) == 0);
    CHECK(reserve.hasLessUrgent(service, chatPriority, at(40000)) == false);
    reserve.onRequest(service, promptPriority, at(40000));
    CHECK(reserve.hasLessUrgent(service, chatPriority, at(40001)));
    CHECK_FALSE(reserve.hasLessUrgent(service, promptPriority, at(40001)));
    CHECK_FALSE(reserve.hasLessUrgent(service, chatPriority, at(70000)));
}

TEST_CASE("the reserve is whole engines in each zone, at most half of them, while the others are nearly full")
{
    std::vector<UpstreamPointer> engines;
    for (int index = 0; index < 16; ++index) {
        engines.push_back(engine("e" + std::to_string(index), 6));
        engines.back()->record.availabilityZone = index < 8 ? "z1" : "z2";
        engines.back()->running = 5;
    }
    CHECK(enginesInReserve(engines, 0).empty());
    CHECK(enginesInReserve(engines, 1).size() == 2);
    CHECK(enginesInReserve(engines, 24).size() == 4);
    CHECK(enginesInReserve(engines, 1000).size() == 8);
    std::vector<const UpstreamEndpoint*> reserved = enginesInReserve(engines, 1);
    CHECK(reserved[0]->record.availabilityZone != reserved[1]->record.availabilityZone);
    // A greater reserve has the engines of a smaller one.
    std::vector<const UpstreamEndpoint*> more = enginesInReserve(engines, 24);
    for (const UpstreamEndpoint* one : reserved)
        CHECK(std::find(more.begin(), more.end(), one) != more.end());
    for (const UpstreamPointer& one : engines)
        one->running = 4;
    CHECK(enginesInReserve(engines, 1000).empty());
}

TEST_CASE("a request goes to a reserved engine if it may use no other")
{
    std::vector<UpstreamPointer> engines{engine("a", 6), engine("b", 6)};
    engines[0]->running = 6;
    engines[1]->running = 6;
    std::vector<const UpstreamEndpoint*> reserved = enginesInReserve(engines, 1);
    REQUIRE(reserved.size() == 1);
    UpstreamPointer left = engines[0].get() == reserved[0] ? engines[0] : engines[1];
    UpstreamPointer other = engines[0].get() == reserved[0] ? engines[1] : engines[0];
    left->running = 0;
    PlacementQuery query;
    query.availabilityZone = "z";
    query.region = "r";
    CHECK(AffinityChooser().choose(query, engines, at(0)) == left);
    query.reservedSlots = 1;
    CHECK(AffinityChooser().choose(query, engines, at(0)) == other);
    CHECK(LeastLoadedChooser().choose(query, engines, at(0)) == other);
    PlacementQuery urgent = query;
    urgent.reservedSlots = 0;
    urgent.slotsLeftByOthers = 1;
    other->running = 5;
    left->running = 5;
    CHECK(AffinityChooser().choose(urgent, engines, at(0)) == left);
    left->running = 6;
    CHECK(AffinityChooser().choose(urgent, engines, at(0)) == other);
    left->running = 0;
    other->running = 6;
    query.excluded = {other.get()};
    CHECK(AffinityChooser().choose(query, engines, at(0)) == left);
    CHECK(LeastLoadedChooser().choose(query, engines, at(0)) == left);
}

TEST_CASE("a prompt isn't prefilled at a reserved engine while another engine can answer it late")
{
    std::vector<UpstreamPointer> engines{engine("a", 6), engine("b", 6), engine("c", 6)};
    engines[2]->record.role = EngineRole::Prefill;
    engines[2]->engineLoad.onSent(100000, PromptPriority::OnTime, 1, at(0));
    engines[0]->running = 6;
    engines[1]->running = 6;
    std::vector<const UpstreamEndpoint*> reserved = enginesInReserve(engines, 1);
    REQUIRE(reserved.size() == 1);
    UpstreamPointer other = engines[0].get() == reserved[0] ? engines[1] : engines[0];
    other->engineLoad.onSent(100000, PromptPriority::OnTime, 1, at(0));
    PlacementQuery query;
    query.availabilityZone = "z";
    query.region = "r";
    std::vector<PromptPart> parts{{1, 3000}};
    PromptQuery prompt{parts, 3000, Millis(200), Millis(1000)};
    CHECK(EngineChooser().choose(query, prompt, engines, at(0))->engine.get() == reserved[0]);
    query.reservedSlots = 1;
    std::optional<EngineChoice> choice = EngineChooser().choose(query, prompt, engines, at(0));
    REQUIRE(choice);
    CHECK(choice->engine == engines[2]);
    CHECK(choice->priority == PromptPriority::Late);
    // No other engine can answer it at all.
    prompt.lateLimit = Millis(250);
    CHECK(EngineChooser().choose(query, prompt, engines, at(0))->engine.get() == reserved[0]);
}

// Guards against chats whose tokens wait for the chunks of a long prompt.
TEST_CASE("urgent streams prefer engines that prefill no long prompt")
{
    std::vector<UpstreamPointer> engines{engine("a", 6), engine("b", 6)};
    engines[0]->engineLoad.onSent(9000, PromptPriority::OnTime, 1, at(0));
    engines[1]->running = 2;
    PlacementQuery query;
    query.availabilityZone = "z";
    query.region = "r";
    CHECK(AffinityChooser().choose(query, engines, at(0)) == engines[0]);
    query.avoidsLongPrompts = true;
    CHECK(AffinityChooser().choose(query, engines, at(0)) == engines[1]);
    engines[1]->engineLoad.setPeerTokens({0, 9000});
    CHECK(AffinityChooser().choose(query, engines, at(0)) == engines[0]);
}

} // namespace
} // namespace ragwortwinch
