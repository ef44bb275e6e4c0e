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

#include <asio.hpp>
#include <functional>

namespace ragwortwinch {

class StoreRunner {
public:
    // Handles an answer and returns follow-up operations.
    using OnAnswer = std::function<StoreOps(Instant now, const StoreAnswer& answer)>;

    // All references must outlive the runner.
    StoreRunner(asio::io_context& context, KeyValueStore& store, const Clock& clock)
        : context_(context)
        , store_(store)
        , clock_(clock)
    {
    }

    void run(StoreOps ops, const OnAnswer& onAnswer)
    {
        for (StoreOp& op : ops) {
            ++calls_;
            store_.execute(std::move(op), [this, onAnswer](const StoreAnswer& answer) {
                asio::post(
                    context_, [this, onAnswer, answer] { run(onAnswer(clock_.now(), answer), onAnswer); });
            });
        }
    }

    std::uint64_t calls() const { return calls_; }

private:
    asio::io_context& context_;
    KeyValueStore& store_;
    const Clock& clock_;
    std::uint64_t calls_ = 0;
};

} // namespace ragwortwinch
