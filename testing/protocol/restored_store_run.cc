#include "testing/protocol/restored_store_run.h"

#include "ragwortwinch/lease/lease_keeper.h"
#include "ragwortwinch/store/store_era.h"
#include "ragwortwinch/usage/usage_flusher.h"
#include "ragwortwinch/usage/window_closer.h"
#include "testing/protocol/virtual_store.h"
#include "testing/protocol/virtual_time.h"

#include <fmt/format.h>
#include <memory>
#include <set>
#include <stdexcept>

namespace ragwortwinch::protocol {

namespace {

// The timing of a VM in gateway mode, by default.
constexpr Millis tickInterval{50};
constexpr Millis leaseTtl{2000};
constexpr Millis clockMargin{200};
constexpr Millis sendBound{700};
constexpr Millis retryInterval{500};
constexpr Millis usageWindow{2500};
constexpr Millis usageGrace{1000};
constexpr Millis flushInterval{2000};
// Stands for the watch, through which a VM without other work hears of the store.
constexpr Millis watchInterval{700};
constexpr Millis peerSilenceLimit{2500};
constexpr Millis faultPhase{40000};
constexpr Millis recoveryPhase{20000};
// Only these count usage, so that large fleets stay fast.
constexpr int countingVms = 8;

// What a VM tells its peers.
struct Heartbeat {
    int sender = 0;
    std::string usageKey;
    WindowUsage totals;
    std::optional<std::uint64_t> era;
    std::int64_t eraSeenAt = 0;
    UsageProgress progress;
    bool isStoreDown = false;
};

// The platform: checks what reaches it.
class Receiver {
public:
    SendOutcome onReport(const std::string& vm, std::uint64_t token, const ClosedWindow& window)
    {
        if (token < greatestToken_)
            violations.push_back(fmt::format("token {} of {} after token {}", token, vm, greatestToken_));
        greatestToken_ = std::max(greatestToken_, token);
        if (!holders_.emplace(token, vm).second && holders_[token] != vm)
            violations.push_back(fmt::format("token {} of {} and {}", token, holders_[token], vm));
        std::int64_t requests = requestsOf(window.figures);
        if (!reports.emplace(window.window, requests).second && reports[window.window] != requests)
            violations.push_back(fmt::format(
                "window {} with {} and {} requests", window.window, reports[window.window], requests));
        return SendOutcome::Applied;
    }

    static std::int64_t requestsOf(const TeamUsage& usage)
    {
        std::int64_t sum = 0;
        for (const auto& [team, figures] : usage)
            sum += figures.requests;
        return sum;
    }

    std::vector<std::string> violations;
    std::map<WindowId, std::int64_t> reports;

private:
    std::uint64_t greatestToken_ = 0;
    std::map<std::uint64_t, std::string> holders_;
};

class Fleet {
public:
    explicit Fleet(const RestoredStoreOptions& options)
        : options_(options)
        , random_(options.seed)
        , store_(time_, random_)
    {
        store_.setFaults(options.hasStoreFaults ? StoreFaults{0.02, 0.03, 0.03, 0} : StoreFaults{0, 0, 0, 0});
        for (int index = 0; index < options.vms; ++index)
            vms_.push_back(std::make_unique<Vm>(index));
        for (std::unique_ptr<Vm>& vm : vms_)
            start(*vm);
    }

    RestoredStoreResult execute()
    {
        store_.keepCopies();
        Instant end = time_.now() + faultPhase;
        areFaultsEnabled_ = true;
        scheduleTick();
        scheduleHeartbeats();
        scheduleFault();
        runGuarded(end);
        areFaultsEnabled_ = false;
        for (std::unique_ptr<Vm>& vm : vms_)
            vm->cutUntil = vm->peersCutUntil = Instant();
        store_.setOutage(false);
        runGuarded(time_.now() + recoveryPhase);
        return result();
    }

private:
    void runGuarded(Instant end)
    {
        try {
            time_.runUntil(end);
        } catch (const std::logic_error& broken) {
            receiver_.violations.push_back(broken.what());
        }
    }

    // The memory of a process.
    struct State {
        State(const std::string& name, const std::string& incarnation)
            : lease("control", name, incarnation, ids,
                {leaseTtl, clockMargin, sendBound, retryInterval, /*skipsQuietPeriodAfterRelease=*/false})
            , closer("0", ids,
                  {usageWindow, usageGrace, retryInterval, /*acceptsDirectTotals=*/true,
                      leaseTtl + clockMargin + sendBound})
            , flusher(name, incarnation, ids, flushInterval, Millis(0))
            , key(usageKey(name, incarnation))
        {
        }
        OpIds ids;
        StoreEra era;
        LeaseKeeper lease;
        WindowCloser closer;
        UsageFlusher flusher;
        WindowUsage totals;
        std::string key;
        std::map<int, Instant> peersSeenAt;
        std::set<int> peersWithoutStore;
        Instant storeSeenAt;
        Instant nextWatch;
        bool isSending = false;
        bool hasSeenRestore = false;
    };
    struct Vm {
        explicit Vm(int index)
            : index(index)
            , name(fmt::format("n{}", index))
        {
        }
        int index;
        std::string name;
        int incarnation = 0;
        std::shared_ptr<State> state;
        Instant pausedUntil;
        Instant cutUntil;
        Instant peersCutUntil;
    };
    using OnAnswer = std::function<StoreOps(State&, const StoreAnswer&)>;

    std::int64_t unixMillis() const
    {
        constexpr std::int64_t start = 1700000000000;
        return start + time_.now().time_since_epoch().count();
    }
    WindowId windowNow() const { return unixMillis() / usageWindow.count(); }
    Millis delay(std::int64_t least, std::int64_t most)
    {
        return Millis(std::uniform_int_distribution<std::int64_t>(least, most)(random_));
    }
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    bool isRunning(const Vm& vm) const { return vm.state && time_.now() >= vm.pausedUntil; }

    void start(Vm& vm)
    {
        vm.state = std::make_shared<State>(vm.name, std::to_string(++vm.incarnation));
        vm.state->storeSeenAt = time_.now();
        // Heartbeats of the peers arrive before a new process takes a duty.
        for (const std::unique_ptr<Vm>& peer : vms_)
            vm.state->peersSeenAt[peer->index] = time_.now();
    }

    // Runs `action` on the same process as soon as it isn't frozen.
    void whenRunning(Vm& vm, std::function<void(State&)> action)
    {
        std::weak_ptr<State> process = vm.state;
        Millis wait = std::max(Millis(0), std::chrono::duration_cast<Millis>(vm.pausedUntil - time_.now()));
        time_.after(wait, [this, &vm, process, action = std::move(action)]() mutable {
            std::shared_ptr<State> state = process.lock();
            if (!state || state != vm.state)
                return;
            if (time_.now() < vm.pausedUntil)
                whenRunning(vm, std::move(action));
            else
                action(*state);
        });
    }

    void onEra(State& state)
    {
        state.flusher.onStoreRestored();
        std::optional<AuthoritySpan> span;
        if (state.lease.isHeld(time_.now()))
            span = AuthoritySpan{state.lease.acquiredAt(), state.lease.confirmedAt()};
        state.closer.onStoreEra(time_.now(), *state.era.current(), unixMillis(), span);
        state.lease.onStoreRestored(time_.now());
    }

    void run(Vm& vm, StoreOps ops, const OnAnswer& onAnswer)
    {
        for (StoreOp& op : ops) {
            std::optional<std::uint64_t> sentIn = vm.state->era.current();
            store_.execute(std::move(op), time_.now() < vm.cutUntil,
                [this, &vm, onAnswer, sentIn, process = std::weak_ptr<State>(vm.state)](
                    const StoreAnswer& answer) {
                    if (!vm.state || process.lock() != vm.state)
                        return;
                    whenRunning(vm, [this, &vm, onAnswer, sentIn, answer](State& state) {
                        StoreAnswer checked = answer;
                        bool isNoAnswer = answer.isOutage() && !answer.era;
                        EraVerdict verdict
                            = isNoAnswer ? EraVerdict::Current : state.era.onAnswer(sentIn, answer.era);
                        state.hasSeenRestore |= verdict == EraVerdict::Restored;
                        if (verdict == EraVerdict::First || verdict == EraVerdict::Restored)
                            onEra(state);
                        if (verdict != EraVerdict::First && verdict != EraVerdict::Current)
                            checked.status = StoreStatus::Unknown;
                        if (!checked.isOutage())
                            state.storeSeenAt = time_.now();
                        run(vm, onAnswer(state, checked), onAnswer);
                    });
                });
        }
    }

    bool wantsDuty(const Vm& vm) const
    {
        for (const auto& [peer, seenAt] : vm.state->peersSeenAt) {
            bool isCandidate
                = time_.now() - seenAt < peerSilenceLimit && !vm.state->peersWithoutStore.contains(peer);
            if (peer < vm.index && isCandidate)
                return false;
        }
        return true;
    }

    void tick(Vm& vm)
    {
        State& state = *vm.state;
        Instant now = time_.now();
        if (vm.index < countingVms && areFaultsEnabled_ && chance(0.2)) {
            state.totals[windowNow()]["team"].requests += 1;
            truth_[windowNow()] += 1;
        }
        if (now >= state.nextWatch) {
            state.nextWatch = now + watchInterval;
            run(vm, {StoreOp::get(state.ids.next(), "config")},
                [](State&, const StoreAnswer&) { return StoreOps(); });
        }
        state.lease.setWanted(wantsDuty(vm));
        run(vm, state.lease.tick(now), [this](State& current, const StoreAnswer& answer) {
            return current.lease.onAnswer(time_.now(), answer);
        });
        run(vm, state.flusher.tick(now, state.totals), [this](State& current, const StoreAnswer& answer) {
            return current.flusher.onAnswer(time_.now(), answer);
        });
        Authority authority;
        if (state.lease.isHeld(now))
            authority = {state.lease.epoch(), state.lease.isQuietPeriodOver(now)};
        state.closer.setDirectTotals(state.key, state.totals);
        run(vm, state.closer.tick(now, unixMillis(), authority),
            [this](State& current, const StoreAnswer& answer) {
                return current.closer.onAnswer(time_.now(), answer);
            });
        if (!state.isSending) {
            if (std::optional<ClosedWindow> report = state.closer.takeReport(now, authority))
                send(vm, *report, authority.epoch, state.lease.authorityEnd());
        }
    }

    // Sends a report if enough of the authority is left; a freeze in between closes the connection at its
    // end.
    void send(Vm& vm, const ClosedWindow& report, std::uint64_t token, Instant authorityEnd)
    {
        if (time_.now() + sendBound > authorityEnd) {
            vm.state->closer.onReportResult(report.window, SendOutcome::Unknown);
            return;
        }
        vm.state->isSending = true;
        if (areFaultsEnabled_ && options_.hasVmFaults && chance(0.03))
            vm.pausedUntil = time_.now() + delay(100, 5000);
        whenRunning(vm, [this, &vm, report, token, authorityEnd](State&) {
            bool isLost = areFaultsEnabled_ && chance(0.1);
            auto outcome = std::make_shared<SendOutcome>(SendOutcome::Unknown);
            if (time_.now() < authorityEnd && !isLost)
                time_.after(delay(0, sendBound.count() - 1), [this, &vm, report, token, outcome] {
                    *outcome = receiver_.onReport(vm.name, token, report);
                });
            bool isAnswerLost = areFaultsEnabled_ && chance(0.2);
            whenRunningAfter(vm, sendBound, [report, outcome, isAnswerLost](State& state) {
                state.isSending = false;
                state.closer.onReportResult(report.window, isAnswerLost ? SendOutcome::Unknown : *outcome);
            });
        });
    }

    void whenRunningAfter(Vm& vm, Millis wait, std::function<void(State&)> action)
    {
        std::weak_ptr<State> process = vm.state;
        time_.after(wait, [this, &vm, process, action = std::move(action)] {
            if (vm.state && process.lock() == vm.state)
                whenRunning(vm, action);
        });
    }

    void scheduleTick()
    {
        time_.after(tickInterval, [this] {
            for (std::unique_ptr<Vm>& vm : vms_) {
                if (isRunning(*vm))
                    tick(*vm);
            }
            scheduleTick();
        });
    }

    void scheduleHeartbeats()
    {
        time_.after(Millis(options_.vms > countingVms ? 1000 : 200), [this] {
            for (std::unique_ptr<Vm>& from : vms_) {
                if (isRunning(*from) && time_.now() >= from->peersCutUntil)
                    sendHeartbeats(*from);
            }
            scheduleHeartbeats();
        });
    }

    void sendHeartbeats(Vm& from)
    {
        State& state = *from.state;
        auto beat = std::make_shared<Heartbeat>();
        beat->sender = from.index;
        beat->usageKey = state.key;
        beat->totals = state.totals;
        if (state.hasSeenRestore) {
            beat->era = state.era.current();
            beat->eraSeenAt = state.closer.eraSeenAtUnixMillis();
            beat->progress = state.closer.progress();
        }
        beat->isStoreDown = time_.now() - state.storeSeenAt > Millis(2000);
        for (std::unique_ptr<Vm>& to : vms_) {
            if (to.get() == &from || !to->state)
                continue;
            Vm& peer = *to;
            time_.after(delay(1, 40), [this, &peer, beat] {
                if (!peer.state || time_.now() < peer.peersCutUntil)
                    return;
                whenRunning(peer, [this, beat](State& receiver) { onHeartbeat(receiver, *beat); });
            });
        }
    }

    void onHeartbeat(State& state, const Heartbeat& beat)
    {
        state.peersSeenAt[beat.sender] = time_.now();
        if (beat.isStoreDown)
            state.peersWithoutStore.insert(beat.sender);
        else
            state.peersWithoutStore.erase(beat.sender);
        if (state.era.onPeerEra(beat.era)) {
            state.hasSeenRestore = true;
            onEra(state);
        }
        if (beat.era)
            state.closer.onPeerProgress(beat.progress, beat.era, beat.eraSeenAt);
        if (!beat.totals.empty())
            state.closer.setDirectTotals(beat.usageKey, beat.totals);
    }

    void scheduleFault()
    {
        if (!areFaultsEnabled_)
            return;
        // The first fault finds the duty held.
        Millis pause = options_.isDense ? delay(500, 6000) : delay(9000, 13000);
        time_.after(pause, [this] {
            if (areFaultsEnabled_)
                injectFault();
            scheduleFault();
        });
    }

    void injectFault()
    {
        int choice = options_.hasVmFaults ? std::uniform_int_distribution<int>(0, 9)(random_) : 0;
        Vm& vm = chance(0.5) ? holderOrAny() : anyVm();
        if (choice < 4) {
            restoreStore();
            // Sometimes twice in a row.
            if (options_.isDense && chance(0.3))
                time_.after(delay(100, 1500), [this] { restoreStore(); });
        } else if (choice < 6)
            kill(vm);
        else if (choice < 7)
            vm.pausedUntil = std::max(vm.pausedUntil, time_.now() + delay(100, 5000));
        else if (choice < 9)
            vm.cutUntil = time_.now() + delay(200, 5000);
        else
            vm.peersCutUntil = time_.now() + delay(200, 5000);
    }

    void restoreStore()
    {
        store_.setOutage(true);
        time_.after(delay(0, options_.isDense ? 2000 : 800), [this] {
            store_.restore(delay(300, 9000));
            ++restores_;
            store_.setOutage(false);
        });
    }

    void kill(Vm& vm)
    {
        if (!vm.state)
            return;
        vm.state.reset();
        time_.after(delay(50, 2000), [this, &vm] { start(vm); });
    }

    Vm& anyVm() { return *vms_[std::uniform_int_distribution<std::size_t>(0, vms_.size() - 1)(random_)]; }
    Vm& holderOrAny()
    {
        for (std::unique_ptr<Vm>& vm : vms_) {
            if (vm->state && vm->state->lease.isHeld(time_.now()))
                return *vm;
        }
        return anyVm();
    }

    RestoredStoreResult result()
    {
        RestoredStoreResult result;
        result.violations = receiver_.violations;
        result.restores = restores_;
        for (const auto& [window, requests] : truth_) {
            ++result.dueWindows;
            result.counted += requests;
            auto report = receiver_.reports.find(window);
            if (report == receiver_.reports.end())
                continue;
            ++result.reportedWindows;
            result.reported += report->second;
        }
        return result;
    }

    RestoredStoreOptions options_;
    VirtualTime time_;
    std::mt19937_64 random_;
    VirtualStore store_;
    Receiver receiver_;
    std::vector<std::unique_ptr<Vm>> vms_;
    std::map<WindowId, std::int64_t> truth_;
    bool areFaultsEnabled_ = false;
    int restores_ = 0;
};

} // namespace

RestoredStoreResult runRestoredStore(const RestoredStoreOptions& options) { return Fleet(options).execute(); }

} // namespace ragwortwinch::protocol
