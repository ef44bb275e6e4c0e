// Plays fleets of VMs in front of engines that crash, in virtual time.
#include "ragwortwinch/quarantine/request_quarantine.h"
#include "testing/protocol/virtual_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace ragwortwinch {
namespace {

using protocol::VirtualTime;

// The operators' bound on how long VMs in contact may take to agree.
constexpr Millis contactTime{4000};
constexpr Millis tickInterval{50};
constexpr Millis heartbeatInterval{200};
constexpr Millis storePollInterval{500};
constexpr Millis engineRestartTime{2500};
// Parts from here on are harmful; parts below are shared by sound prompts.
constexpr TraitId firstHarmfulPart = 0xbad000;
constexpr TraitId firstPartOfAll = 1;
constexpr int firstParts = 4;
constexpr TraitId firstSubject = 1000;
constexpr int subjects = 300;

struct Load {
    Millis length{45000};
    std::size_t vms = 8;
    std::size_t engines = 9;
    int harmfulParts = 1;
    // Per second, for each harmful part and for all sound prompts.
    double harmfulRate = 3;
    double soundRate = 150;
    bool hasOtherCrashes = false;
    bool hasVmFaults = false;
};

struct Outcome {
    // Harmful prompts that VMs in contact sent later than `contactTime` after the fifth crash, of the worst
    // part.
    int lateHarmfulPrompts = 0;
    // Share of the sound prompts that began at the first attempt, before and after the quarantine; -1 if
    // there were too few.
    double begunBefore = 0;
    double begunAfter = 0;
    int soundRefused = 0;
    int soundSent = 0;
    int crashes = 0;
    // Writes to the store of all VMs.
    int writes = 0;
    std::size_t frames = 0;
};

class Fleet {
public:
    Fleet(const Load& load, std::uint64_t seed)
        : load_(load)
        , random_(seed)
        , vms_(load.vms)
        , engines_(load.engines)
    {
        for (std::size_t number = 0; number < vms_.size(); ++number)
            startVm(number);
        for (std::size_t number = 0; number < vms_.size(); ++number)
            time_.after(delay(0, 50), [this, number] { tick(number); });
    }

    Outcome play()
    {
        arriveSound();
        for (int part = 0; part < load_.harmfulParts; ++part)
            time_.after(Millis(8000 + 2000 * part),
                [this, part] { arriveHarmful(firstHarmfulPart + static_cast<TraitId>(part)); });
        if (load_.hasOtherCrashes)
            crashForOtherCause();
        if (load_.hasVmFaults)
            harmVm();
        time_.runUntil(time_.now() + load_.length);
        return evaluate();
    }

private:
    struct Vm {
        std::unique_ptr<OpIds> ids;
        std::unique_ptr<RequestQuarantine> quarantine;
        int generation = 0;
        bool isFrozen = false;
        bool isCutFromPeers = false;
        bool isCutFromStore = false;
        // End of the last fault of this VM.
        Instant lastFault;
        std::map<TraitId, Instant> answers;
        std::set<TraitId> watched;
        std::map<std::string, bool> storeView;
        // The other VMs that it is connected to.
        std::set<std::size_t> peers;
        std::set<std::string> peerNames;
        Instant nextHeartbeat;
        Instant nextStorePoll;
        std::vector<std::function<void()>> delayed;
    };
    struct Running {
        std::size_t vm = 0;
        int generation = 0;
        std::vector<TraitId> parts;
        Instant sentAt;
        int attempt = 1;
    };
    struct Engine {
        std::int64_t incarnation = 1;
        bool isUp = true;
        std::uint64_t nextRun = 0;
        std::map<std::uint64_t, Running> running;
    };
    struct SoundPrompt {
        Instant sentAt;
        bool hasBegun = false;
    };

    Millis delay(int least, int most)
    {
        return Millis(std::uniform_int_distribution<int>(least, most)(random_));
    }
    std::size_t pick(std::size_t count) { return random_() % count; }
    Millis gap(double perSecond)
    {
        return Millis(static_cast<int>(std::exponential_distribution<>(perSecond)(random_) * 1000) + 1);
    }

    void startVm(std::size_t number)
    {
        Vm& vm = vms_[number];
        int generation = vm.generation + 1;
        Instant lastFault = vm.lastFault;
        vm = Vm{};
        vm.generation = generation;
        vm.lastFault = lastFault;
        vm.ids = std::make_unique<OpIds>();
        vm.quarantine = std::make_unique<RequestQuarantine>(name(number), *vm.ids);
        vm.nextStorePoll = time_.now();
    }

    static std::string name(std::size_t number) { return "vm" + std::to_string(number); }
    bool isRunning(std::size_t number) const { return vms_[number].quarantine && !vms_[number].isFrozen; }
    bool isLinked(std::size_t from, std::size_t to) const
    {
        return isRunning(from) && isRunning(to) && !vms_[from].isCutFromPeers && !vms_[to].isCutFromPeers;
    }
    // Runs on the VM's process: later if it is frozen, never if it has been killed.
    void onVm(std::size_t number, int generation, std::function<void()> action)
    {
        Vm& vm = vms_[number];
        if (!vm.quarantine || vm.generation != generation)
            return;
        if (vm.isFrozen)
            vm.delayed.push_back(std::move(action));
        else
            action();
    }

    void tick(std::size_t number)
    {
        time_.after(tickInterval, [this, number] { tick(number); });
        if (!isRunning(number))
            return;
        Vm& vm = vms_[number];
        if (time_.now() >= vm.nextHeartbeat)
            updateLinks(number);
        if (!vm.isCutFromStore && time_.now() >= vm.nextStorePoll)
            pollStore(number);
        for (StoreOp& op : vm.quarantine->tick(time_.now(), vm.peerNames))
            execute(number, op);
        if (std::optional<QuarantineNews> news = vm.quarantine->takeNews()) {
            std::shared_ptr<const std::string> bytes = encode(*news);
            for (std::size_t other : vm.peers)
                send(number, other, bytes);
        }
        if (vm.quarantine->takeChanged())
            onWatchedChanged(number);
    }

    void updateLinks(std::size_t number)
    {
        Vm& vm = vms_[number];
        vm.nextHeartbeat = time_.now() + heartbeatInterval;
        std::set<std::size_t> former = std::move(vm.peers);
        vm.peers.clear();
        vm.peerNames.clear();
        std::shared_ptr<const std::string> all;
        for (std::size_t other = 0; other < vms_.size(); ++other) {
            if (other == number || !isLinked(number, other))
                continue;
            vm.peers.insert(other);
            vm.peerNames.insert(name(other));
            // A new link carries what the peer may have missed.
            if (former.contains(other))
                continue;
            if (!all)
                all = encode(vm.quarantine->allNews());
            send(number, other, all);
        }
    }

    void onWatchedChanged(std::size_t number)
    {
        Vm& vm = vms_[number];
        std::set<TraitId> added;
        for (TraitId part : vm.quarantine->suspectedParts()) {
            if (!vm.watched.contains(part))
                added.insert(part);
        }
        vm.watched = vm.quarantine->suspectedParts();
        for (TraitId part : added) {
            auto answer = vm.answers.find(part);
            if (answer != vm.answers.end())
                vm.quarantine->onAnswered(time_.now(), part, answer->second);
        }
    }

    std::shared_ptr<const std::string> encode(const QuarantineNews& news) const
    {
        return std::make_shared<const std::string>(
            news.isEmpty() ? std::string() : encodeQuarantineNews(news, time_.now()));
    }

    void send(std::size_t from, std::size_t to, const std::shared_ptr<const std::string>& bytes)
    {
        if (bytes->empty())
            return;
        ++outcome_.frames;
        int generation = vms_[to].generation;
        time_.after(delay(1, 25), [this, from, to, generation, bytes] {
            if (vms_[to].isCutFromPeers || vms_[from].isCutFromPeers)
                return;
            onVm(to, generation, [this, from, to, bytes] {
                vms_[to].quarantine->onNews(
                    time_.now(), name(from), *decodeQuarantineNews(*bytes, time_.now()));
            });
        });
    }

    void pollStore(std::size_t number)
    {
        Vm& vm = vms_[number];
        vm.nextStorePoll = time_.now() + storePollInterval;
        for (const auto& [key, exists] : store_) {
            if (exists && !vm.storeView[key])
                vm.quarantine->onStoreEntry(time_.now(), key);
            else if (!exists && vm.storeView[key])
                vm.quarantine->onStoreRemoval(time_.now(), key);
        }
        vm.storeView = store_;
    }

    void execute(std::size_t number, const StoreOp& op)
    {
        StoreAnswer answer;
        answer.opId = op.id;
        answer.status = StoreStatus::Unavailable;
        if (!vms_[number].isCutFromStore) {
            ++outcome_.writes;
            bool exists = store_[op.key];
            bool isPut = op.verb == StoreVerb::Put;
            answer.status = isPut && exists ? StoreStatus::Conflict : StoreStatus::Ok;
            store_[op.key] = isPut;
        }
        int generation = vms_[number].generation;
        time_.after(Millis(4), [this, number, generation, answer] {
            onVm(number, generation,
                [this, number, answer] { vms_[number].quarantine->onAnswer(time_.now(), answer); });
        });
    }

    bool isHarmful(const std::vector<TraitId>& parts) const
    {
        return std::any_of(parts.begin(), parts.end(), [](TraitId part) { return part >= firstHarmfulPart; });
    }

    bool isInContact(std::size_t number) const { return time_.now() - vms_[number].lastFault > contactTime; }

    void arriveSound()
    {
        time_.after(gap(load_.soundRate), [this] { arriveSound(); });
        std::vector<TraitId> parts{firstPartOfAll + pick(firstParts), firstSubject + pick(subjects)};
        std::size_t number = pick(vms_.size());
        if (!isRunning(number) || !isInContact(number))
            return;
        sound_.push_back({time_.now(), false});
        ++outcome_.soundSent;
        start(number, std::move(parts), 1, sound_.size());
    }

    void arriveHarmful(TraitId part)
    {
        time_.after(gap(load_.harmfulRate), [this, part] { arriveHarmful(part); });
        std::size_t number = pick(vms_.size());
        if (isRunning(number))
            start(number, {firstPartOfAll + pick(firstParts), part, firstSubject + pick(subjects)}, 1, 0);
    }

    // `sound` is one more than the index in `sound_`, or 0.
    void start(std::size_t number, std::vector<TraitId> parts, int attempt, std::size_t sound)
    {
        Vm& vm = vms_[number];
        std::map<TraitId, Instant> quarantined = vm.quarantine->quarantinedUntil();
        for (TraitId part : parts) {
            if (quarantined.contains(part)) {
                outcome_.soundRefused += sound ? 1 : 0;
                return;
            }
        }
        // A VM connects to another engine when one refuses.
        for (int choice = 0; choice < 3; ++choice) {
            Engine& engine = engines_[pick(engines_.size())];
            if (!engine.isUp)
                continue;
            if (sound && attempt == 1)
                sound_[sound - 1].hasBegun = true;
            for (TraitId part : parts) {
                if (part >= firstHarmfulPart)
                    arrivals_[part].push_back({time_.now(), isInContact(number)});
            }
            std::uint64_t run = ++engine.nextRun;
            engine.running[run] = {number, vm.generation, parts, time_.now(), attempt};
            bool crashes = isHarmful(parts);
            std::int64_t incarnation = engine.incarnation;
            time_.after(
                crashes ? delay(60, 250) : delay(40, 400), [this, &engine, run, incarnation, crashes] {
                    if (engine.incarnation != incarnation || !engine.isUp)
                        return;
                    if (crashes)
                        crash(engine, run);
                    else
                        finish(engine, run);
                });
            return;
        }
    }

    void finish(Engine& engine, std::uint64_t run)
    {
        Running done = engine.running[run];
        engine.running.erase(run);
        onVm(done.vm, done.generation, [this, done] {
            Vm& vm = vms_[done.vm];
            for (TraitId part : done.parts) {
                vm.answers[part] = time_.now();
                if (vm.watched.contains(part))
                    vm.quarantine->onAnswered(time_.now(), part, time_.now());
            }
        });
    }

    // `cause` is the run of a harmful prompt, or 0.
    void crash(Engine& engine, std::uint64_t cause)
    {
        ++outcome_.crashes;
        if (cause) {
            for (TraitId part : engine.running[cause].parts) {
                if (part >= firstHarmfulPart)
                    crashes_[part].push_back(time_.now());
            }
        }
        std::string id = "e" + std::to_string(&engine - engines_.data());
        std::map<std::pair<std::size_t, int>, std::vector<Running>> lost;
        for (const auto& [run, running] : engine.running)
            lost[{running.vm, running.generation}].push_back(running);
        for (const auto& [vm, prompts] : lost) {
            std::int64_t incarnation = engine.incarnation;
            time_.after(delay(2, 40), [this, vm = vm, prompts = prompts, id, incarnation] {
                onVm(vm.first, vm.second, [this, vm, prompts, id, incarnation] {
                    EndpointCrash report{id, incarnation, time_.now(), {}};
                    for (const Running& prompt : prompts)
                        report.requests.push_back({prompt.parts, prompt.sentAt});
                    vms_[vm.first].quarantine->onCrash(time_.now(), report, true);
                    for (const Running& prompt : prompts) {
                        if (prompt.attempt < 2)
                            start(vm.first, prompt.parts, prompt.attempt + 1, 0);
                    }
                });
            });
        }
        engine.running.clear();
        engine.isUp = false;
        time_.after(engineRestartTime, [&engine] {
            ++engine.incarnation;
            engine.isUp = true;
        });
    }

    // Crashes one engine, or half of them together.
    void crashForOtherCause()
    {
        time_.after(delay(500, 3000), [this] { crashForOtherCause(); });
        std::size_t count = pick(4) == 0 ? engines_.size() / 2 : 1;
        for (std::size_t done = 0; done < count; ++done) {
            Engine& engine = engines_[pick(engines_.size())];
            if (engine.isUp)
                crash(engine, 0);
        }
    }

    // Kills and restarts a VM, freezes it, or cuts it off from its peers, the store or both.
    void harmVm()
    {
        time_.after(delay(300, 1500), [this] { harmVm(); });
        std::size_t number = pick(vms_.size());
        Vm& vm = vms_[number];
        if (!vm.quarantine || vm.isFrozen || vm.isCutFromPeers || vm.isCutFromStore)
            return;
        Millis duration = delay(500, 6000);
        vm.lastFault = time_.now() + duration;
        switch (pick(4)) {
        case 0:
            vm.quarantine.reset();
            time_.after(duration, [this, number] { startVm(number); });
            return;
        case 1:
            vm.isFrozen = true;
            break;
        case 2:
            vm.isCutFromPeers = true;
            break;
        default:
            vm.isCutFromPeers = true;
            vm.isCutFromStore = true;
        }
        time_.after(duration, [this, number] {
            Vm& healed = vms_[number];
            healed.isFrozen = false;
            healed.isCutFromPeers = false;
            healed.isCutFromStore = false;
            std::vector<std::function<void()>> delayed = std::move(healed.delayed);
            healed.delayed.clear();
            for (const std::function<void()>& action : delayed)
                action();
        });
    }

    Outcome evaluate()
    {
        Instant begin = Instant(Millis(1000000));
        Instant settled = begin + Millis(8000);
        for (const auto& [part, crashes] : crashes_) {
            Instant fifth = crashes.size() >= 5 ? crashes[4] : crashes.back();
            settled = std::max(settled, fifth + 2 * contactTime);
            if (crashes.size() < 5)
                continue;
            int late = 0;
            for (const auto& [at, isCounted] : arrivals_[part])
                late += isCounted && at > fifth + contactTime ? 1 : 0;
            outcome_.lateHarmfulPrompts = std::max(outcome_.lateHarmfulPrompts, late);
        }
        outcome_.begunBefore = begunShare(begin, begin + Millis(8000));
        outcome_.begunAfter = begunShare(settled, time_.now());
        return outcome_;
    }

    double begunShare(Instant from, Instant to) const
    {
        int sent = 0;
        int begun = 0;
        for (const SoundPrompt& prompt : sound_) {
            if (prompt.sentAt < from || prompt.sentAt >= to)
                continue;
            ++sent;
            begun += prompt.hasBegun ? 1 : 0;
        }
        // The operators judge from 20 prompts on.
        return sent < 20 ? -1 : static_cast<double>(begun) / sent;
    }

    Load load_;
    std::mt19937_64 random_;
    VirtualTime time_;
    std::vector<Vm> vms_;
    std::vector<Engine> engines_;
    std::map<std::string, bool> store_;
    std::vector<SoundPrompt> sound_;
    std::map<TraitId, std::vector<std::pair<Instant, bool>>> arrivals_;
    std::map<TraitId, std::vector<Instant>> crashes_;
    Outcome outcome_;
};

// Plays `load` with several seeds and checks the operators' rules.
void checkLoad(const Load& load, std::uint64_t seeds)
{
    std::uint64_t judged = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(load.vms);
        CAPTURE(seed);
        Outcome outcome = Fleet(load, seed).play();
        CHECK(outcome.lateHarmfulPrompts <= 3);
        if (outcome.begunAfter >= 0) {
            ++judged;
            CHECK(outcome.begunAfter >= outcome.begunBefore / 2);
        }
        if (seed == 1)
            MESSAGE("VMs ", load.vms, ", harmful parts ", load.harmfulParts, " at ", load.harmfulRate,
                "/s: crashes ", outcome.crashes, ", late harmful prompts ", outcome.lateHarmfulPrompts,
                ", sound prompts begun ", outcome.begunBefore, " and ", outcome.begunAfter, ", refused ",
                outcome.soundRefused, " of ", outcome.soundSent, ", writes ", outcome.writes, ", frames ",
                outcome.frames);
    }
    CHECK(judged * 2 > seeds);
}

TEST_CASE("a harmful part stops reaching engines, at any rate of its prompts")
{
    for (double rate : {0.3, 1.0, 3.0, 20.0}) {
        Load load;
        load.harmfulRate = rate;
        checkLoad(load, 20);
    }
}

TEST_CASE("several harmful parts stop reaching engines beside crashes of other causes and faults of VMs")
{
    Load load;
    load.harmfulParts = 3;
    load.hasOtherCrashes = true;
    load.hasVmFaults = true;
    checkLoad(load, 40);
}

TEST_CASE("crashes without a harmful part put no sound part into quarantine for long")
{
    Load load;
    load.harmfulParts = 0;
    load.hasOtherCrashes = true;
    load.hasVmFaults = true;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Outcome outcome = Fleet(load, seed).play();
        CHECK(outcome.soundRefused == 0);
    }
}

TEST_CASE("harmful parts stop reaching engines in a fleet of 195 VMs")
{
    Load load;
    load.vms = 195;
    load.engines = 31;
    load.soundRate = 500;
    load.length = Millis(30000);
    checkLoad(load, 1);
    load.harmfulParts = 2;
    load.hasOtherCrashes = true;
    load.hasVmFaults = true;
    checkLoad(load, 2);
}

} // namespace
} // namespace ragwortwinch
