// Executes store operations that protocol state machines (such as LeaseKeeper) return, and passes them the
// answers on the control thread.
//
//     runner.run(keeper.tick(now),
//         [&](Instant at, const StoreAnswer& answer) { return keeper.onAnswer(at, answer); });
//
// Control thread only.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/store/key_value_store.h"

#include "ragwortwinch/store/store_era.h"

#include <asio.hpp>
#include <functional>

namespace ragwortwinch {

class StoreRunner {
public:
    // Handles an answer and returns follow-up operations.
    using OnAnswer = std::function<StoreOps(Instant now, const StoreAnswer& answer)>;

    // Called before the answer that shows another era is handled.
    using OnEra = std::function<void(Instant now, EraVerdict verdict)>;

    // All references must outlive the runner.
    StoreRunner(asio::io_context& context, KeyValueStore& store, const Clock& clock)
        : context_(context)
        , store_(store)
        , clock_(clock)
    {
    }

    void setEraListener(OnEra onEra) { onEra_ = std::move(onEra); }
    StoreEra& era() { return era_; }
    const StoreEra& era() const { return era_; }

    // Takes the era of an answer to a call that was sent in era `sentIn`. Returns whether the answer holds.
    bool checkEra(std::optional<std::uint64_t> sentIn, std::optional<std::uint64_t> era)
    {
        EraVerdict verdict = era_.onAnswer(sentIn, era);
        if (onEra_ && (verdict == EraVerdict::First || verdict == EraVerdict::Restored))
            onEra_(clock_.now(), verdict);
        return verdict == EraVerdict::Current || verdict == EraVerdict::First;
    }

    void run(StoreOps ops, const OnAnswer& onAnswer)
    {
        for (StoreOp& op : ops) {
            ++calls_;
            store_.execute(
                std::move(op), [this, onAnswer, sentIn = era_.current()](const StoreAnswer& answer) {
                    asio::post(context_, [this, onAnswer, sentIn, answer] {
                        StoreAnswer checked = answer;
                        bool isNoAnswer = answer.isOutage() && !answer.era;
                        if (!isNoAnswer && !checkEra(sentIn, answer.era)) {
                            checked.status = StoreStatus::Unknown;
                            checked.entries.clear();
                        }
                        run(onAnswer(clock_.now(), checked), onAnswer);
                    });
                });
        }
    }

    std::uint64_t calls() const { return calls_; }

private:
    asio::io_context& context_;
    KeyValueStore& store_;
    const Clock& clock_;
    std::uint64_t calls_ = 0;
    StoreEra era_;
    OnEra onEra_;
};

} // namespace ragwortwinch
